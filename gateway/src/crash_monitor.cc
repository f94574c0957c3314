// Probes endpoints after interrupted runs, and holds what crashes them.
#include "trestlepost/gateway/crash_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"

namespace trestlepost::gateway {
namespace {

using routing::run_trait;
using routing::trait_kind;
using std::chrono::milliseconds;
using transport::connect_outcome;

// An exiting process closes its connections one by one, and its listening
// socket possibly last. The probe waits this long, and interruptions within
// this time are evaluated together.
constexpr milliseconds process_exit_time{20};

// Within this time after a refused connection, runs at other endpoints show
// whether the gateway is partitioned from all of them.
constexpr milliseconds partition_detection_time{80};

// Traits of the runs at one endpoint that are reported when it crashes.
constexpr std::size_t max_traits_per_crash = 1024;

// How long, and for how many traits, the success of runs with a trait that was
// involved in a crash is monitored.
constexpr std::chrono::minutes monitoring_time{10};
constexpr std::size_t max_monitored = 4096;
// How long a gateway holds a request before the configuration lists it, on the
// leader's proposal, or on its own decision while it reaches no leader.
constexpr std::chrono::seconds local_hold_time{60};
// How long it holds a request on its own decision while a leader confirms its
// configuration. The leader also knows the runs at other gateways: it proposes
// the hold within this time, or never.
constexpr std::chrono::seconds unproposed_hold_time{5};

// Traits of the crashes that one gateway keeps; the control nodes keep more.
constexpr std::size_t max_own_observations = 5000;

// Expired entries are removed at this interval, since scanning thousands of
// them in each tick costs too much CPU time on a small VM.
constexpr std::chrono::seconds cleanup_interval{1};

using expiry_by_fingerprint = std::map<std::string, monotonic_time>;

void set_expiry(expiry_by_fingerprint& all, const std::string& fingerprint,
                monotonic_time until) {
  if (all.size() >= max_monitored && !all.contains(fingerprint)) {
    const auto first_to_expire = std::min_element(
        all.begin(), all.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    all.erase(first_to_expire);
  }
  monotonic_time& expiry = all[fingerprint];
  expiry = std::max(expiry, until);
}

void erase_expired(expiry_by_fingerprint& all, monotonic_time now) {
  std::erase_if(all, [now](const auto& it) { return it.second <= now; });
}

routing::crash_attribution_limits own_limits() {
  routing::crash_attribution_limits out;
  out.max_observations = max_own_observations;
  return out;
}

std::string_view probe_result_name(connect_outcome it) {
  switch (it) {
    case connect_outcome::refused:
      return "crashed";
    case connect_outcome::opened:
      return "well";
    case connect_outcome::unreachable:
      break;
  }
  return "silent";
}

/// Returns the refusal of a request that has what is held. `held` says what
/// that is.
attempt held_refusal(const std::string& held, const std::string& fingerprint) {
  return failed_attempt(
      run_state::no,
      {error_kind::request_held,
       "endpoints crash when they run " + held + fingerprint,
       "change the request; an operator may release it with `trestlepost "
       "release " +
           fingerprint + "`"},
      retry_after_held);
}

}  // namespace

crash_monitor::interrupted_runs& crash_monitor::add_run(
    const run_location& at) {
  const auto [known, first] = interrupted_.try_emplace(at.endpoint);
  ++known->second.runs;
  if (first) {
    run_location probed_location = at;
    transport::asio::co_spawn(context_.io, probe(std::move(probed_location)),
                              transport::asio::detached);
  }
  return known->second;
}

void crash_monitor::add_interrupted(
    interrupted_runs& runs, const run_trait& trait,
    std::optional<monotonic_time> last_success) const {
  if (runs.traits.size() >= max_traits_per_crash) return;
  runs.traits[trait.fingerprint] = {trait.kind, last_success};
}

crash_monitor::crash_monitor(gateway_context& context)
    : context_(context),
      attribution_(own_limits()),
      prompts_(context.peer_secret) {}

void crash_monitor::run_interrupted(routed_request& request, bool began,
                                    const run_location& at) {
  interrupted_runs& runs = add_run(at);
  const run_trait whole{trait_kind::request,
                        request.fingerprint(context_.peer_secret)};
  add_interrupted(runs, whole, std::nullopt);
  if (began) return;
  for (const prompt_trait& it : prompts_.of(request))
    add_interrupted(runs, it.trait, it.last_begin);
}

void crash_monitor::run_interrupted(const std::string& fingerprint,
                                    const run_location& at) {
  const run_trait whole{trait_kind::request, fingerprint};
  add_interrupted(add_run(at), whole, std::nullopt);
}

transport::awaitable<bool> crash_monitor::is_partitioned(
    const run_location& at, const interrupted_runs& runs) {
  const monotonic_time refused_at = context_.clock.now();
  context_.endpoints.endpoint_unreached(at.endpoint, refused_at);
  std::set<std::string> fingerprints;
  for (const auto& [fingerprint, it] : runs.traits)
    fingerprints.insert(fingerprint);
  refusals_.record(at.service, at.endpoint, std::move(fingerprints),
                   refused_at);
  co_await transport::sleep_for(context_.io, partition_detection_time);
  co_return context_.endpoints.is_unreachable(at.service) &&
      refusals_.is_common_loss(at.service, context_.clock.now());
}

transport::awaitable<void> crash_monitor::probe(run_location at) {
  co_await transport::sleep_for(context_.io, process_exit_time);
  std::string address = at.address;
  const connect_outcome probed =
      co_await context_.client.try_connect(std::move(address));
  const interrupted_runs interrupted =
      std::move(interrupted_.extract(at.endpoint).mapped());
  const bool refused = probed == connect_outcome::refused;
  const bool crashed = refused && !co_await is_partitioned(at, interrupted);
  const std::string outcome(refused && !crashed ? "unreachable"
                                                : probe_result_name(probed));
  context_.metrics.runs_interrupted(at.service, outcome, interrupted.runs);
  log_event(log_level::info, "endpoint-runs-interrupted",
            {{"endpoint", at.endpoint},
             {"service", at.service},
             {"runs", std::to_string(interrupted.runs)},
             {"endpoint_is", outcome}});
  if (!crashed) co_return;
  const monotonic_time now = context_.clock.now();
  for (const auto& [fingerprint, it] : interrupted.traits)
    record_crash(fingerprint, it, at, now);
  set_expiry(monitored_, routing::service_fingerprint(at.service),
             now + monitoring_time);
}

void crash_monitor::record_crash(const std::string& fingerprint,
                                 const interrupted_trait& trait,
                                 const run_location& at, monotonic_time now) {
  // Parts have an event of their own, since lines are limited by event.
  const bool whole_request = trait.kind == trait_kind::request;
  log_event(log_level::info,
            whole_request ? "run-ended-by-crash" : "part-in-crashed-run",
            {{"fingerprint", fingerprint},
             {"endpoint", at.endpoint},
             {"service", at.service}});
  if (trait.last_success) {
    attribution_.record_success(fingerprint, *trait.last_success);
    if (on_success) on_success(fingerprint, *trait.last_success);
  }
  const routing::crash_report report{fingerprint, at.endpoint, at.service, now,
                                     trait.kind};
  attribution_.record_crash(report, now);
  set_expiry(monitored_, fingerprint, now + monitoring_time);
  if (on_crash) on_crash(report);
}

void crash_monitor::run_began(const routed_request& request) {
  prompts_.record_begin(request, context_.clock.now());
  if (!monitors_any()) return;
  record_success(routing::service_fingerprint(request.service));
  for (const prompt_trait& it : prompts_.of(request))
    record_success(it.trait.fingerprint);
}

void crash_monitor::service_answered(const std::string& service) {
  if (monitors_any()) record_success(routing::service_fingerprint(service));
}

void crash_monitor::run_completed(const std::string& fingerprint) {
  record_success(fingerprint);
}

void crash_monitor::record_success(const std::string& fingerprint) {
  const auto monitored = monitored_.find(fingerprint);
  if (monitored == monitored_.end()) return;
  monitored_.erase(monitored);
  suspects_.erase(fingerprint);
  local_holds_.erase(fingerprint);
  const monotonic_time now = context_.clock.now();
  attribution_.record_success(fingerprint, now);
  if (on_success) on_success(fingerprint, now);
}

bool crash_monitor::holds_any() const {
  return !local_holds_.empty() || !context_.store.held_requests().empty();
}

bool crash_monitor::is_held(const std::string& fingerprint) const {
  return local_holds_.contains(fingerprint) ||
         context_.store.held_requests().contains(fingerprint);
}

std::optional<attempt> crash_monitor::refusal_of(
    const std::string& fingerprint) const {
  if (!is_held(fingerprint)) return std::nullopt;
  return held_refusal("this request; its fingerprint is ", fingerprint);
}

std::optional<attempt> crash_monitor::refusal_of(routed_request& request) {
  for (const prompt_trait& it : prompts_.of(request)) {
    const std::string& fingerprint = it.trait.fingerprint;
    if (is_held(fingerprint)) {
      return held_refusal(
          "requests with a part of this prompt; the fingerprint of the part "
          "is ",
          fingerprint);
    }
  }
  return refusal_of(request.fingerprint(context_.peer_secret));
}

bool crash_monitor::is_suspect(routed_request& request) {
  for (const prompt_trait& it : prompts_.of(request)) {
    if (suspects_.contains(it.trait.fingerprint)) return true;
  }
  return suspects_.contains(request.fingerprint(context_.peer_secret));
}

void crash_monitor::add_suspects(const std::vector<std::string>& fingerprints) {
  const monotonic_time until = context_.clock.now() + monitoring_time;
  for (const std::string& it : fingerprints) {
    set_expiry(monitored_, it, until);
    set_expiry(suspects_, it, until);
  }
}

void crash_monitor::add_proposed_holds(
    const std::vector<std::string>& fingerprints) {
  for (const std::string& it : fingerprints) hold_locally(it, local_hold_time);
}

void crash_monitor::withdraw_holds(
    const std::vector<std::string>& fingerprints) {
  for (const std::string& it : fingerprints) {
    if (local_holds_.erase(it) == 0) continue;
    clear_evidence(it);
    log_event(log_level::info, "local-hold-withdrawn", {{"fingerprint", it}});
  }
}

void crash_monitor::hold_locally(const std::string& fingerprint,
                                 std::chrono::seconds duration) {
  // A request held by the configuration stays held until an operator releases
  // it, so a local hold is not needed.
  if (context_.store.held_requests().contains(fingerprint)) return;
  set_expiry(local_holds_, fingerprint, context_.clock.now() + duration);
  log_event(log_level::info, "request-held-locally",
            {{"fingerprint", fingerprint}});
}

void crash_monitor::apply_own_attribution() {
  add_suspects(attribution_.take_suspects());
  const monotonic_time now = context_.clock.now();
  const std::chrono::seconds duration =
      context_.state.confirmed_at(now) ? unproposed_hold_time : local_hold_time;
  for (const routing::hold_proposal& it :
       attribution_.take_hold_proposals(now)) {
    if (it.kind == trait_kind::request) hold_locally(it.fingerprint, duration);
  }
}

void crash_monitor::end_expired_holds(monotonic_time now) {
  std::erase_if(local_holds_, [this, now](const auto& it) {
    const auto& [fingerprint, until] = it;
    if (until > now) return false;
    // Further crashes are needed to hold it again.
    attribution_.forget(fingerprint, now);
    log_event(log_level::info, "local-hold-expired",
              {{"fingerprint", fingerprint}});
    return true;
  });
}

void crash_monitor::apply_releases() {
  const config::hold_changes changes = holds_.update(context_.store);
  // The configuration holds them now; from here on only an operator releases
  // them.
  for (const std::string& it : changes.held) local_holds_.erase(it);
  for (const std::string& it : changes.released) clear_evidence(it);
}

void crash_monitor::clear_evidence(const std::string& fingerprint) {
  attribution_.forget(fingerprint, context_.clock.now());
  monitored_.erase(fingerprint);
  suspects_.erase(fingerprint);
}

void crash_monitor::remove_expired() {
  const monotonic_time now = context_.clock.now();
  if (now < next_cleanup_) return;
  next_cleanup_ = now + cleanup_interval;
  erase_expired(monitored_, now);
  erase_expired(suspects_, now);
  end_expired_holds(now);
  refusals_.remove_expired(now);
}

void crash_monitor::tick() {
  apply_own_attribution();
  apply_releases();
  remove_expired();
}

}  // namespace trestlepost::gateway

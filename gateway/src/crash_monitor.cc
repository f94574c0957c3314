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
// How long a gateway holds a request on its own decision. The configuration
// lists the request by then, unless the control nodes have lost their majority.
constexpr std::chrono::seconds local_hold_time{60};

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
  all[fingerprint] = until;
}

void erase_expired(expiry_by_fingerprint& all, monotonic_time now) {
  std::erase_if(all, [now](const auto& it) { return it.second <= now; });
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

}  // namespace

crash_monitor::trait_list crash_monitor::parts_of(
    const routed_request& request) {
  return parts_.of(request, context_.peer_secret);
}

crash_monitor::trait_list crash_monitor::traits_of(routed_request& request) {
  trait_list out = parts_of(request);
  out.push_back(
      {trait_kind::request, request.fingerprint(context_.peer_secret)});
  return out;
}

void crash_monitor::run_interrupted(const trait_list& traits,
                                    const run_location& at) {
  const auto [known, first] = interrupted_.try_emplace(at.endpoint);
  interrupted_runs& runs = known->second;
  ++runs.runs;
  for (const run_trait& it : traits) {
    if (runs.traits.size() >= max_traits_per_crash) break;
    runs.traits.emplace(it.fingerprint, it.kind);
  }
  if (!first) return;
  run_location probed_location = at;
  transport::asio::co_spawn(context_.io, probe(std::move(probed_location)),
                            transport::asio::detached);
}

transport::awaitable<bool> crash_monitor::is_partitioned(
    const run_location& at, const trait_map& interrupted) {
  const monotonic_time refused_at = context_.clock.now();
  context_.endpoints.endpoint_unreached(at.endpoint, refused_at);
  std::set<std::string> fingerprints;
  for (const auto& [fingerprint, kind] : interrupted)
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
  const bool crashed =
      refused && !co_await is_partitioned(at, interrupted.traits);
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
  for (const auto& [fingerprint, kind] : interrupted.traits) {
    const run_trait trait{kind, fingerprint};
    record_crash(trait, at, now);
  }
  monitor_service(at.service, now);
}

void crash_monitor::record_crash(const run_trait& trait, const run_location& at,
                                 monotonic_time now) {
  // Parts have an event of their own, since lines are limited by event.
  const bool whole_request = trait.kind == trait_kind::request;
  log_event(log_level::info,
            whole_request ? "run-ended-by-crash" : "part-in-crashed-run",
            {{"fingerprint", trait.fingerprint},
             {"endpoint", at.endpoint},
             {"service", at.service}});
  if (!whole_request) return;
  const routing::crash_report report{trait.fingerprint, at.endpoint, at.service,
                                     now};
  attribution_.record_crash(report, now);
  set_expiry(monitored_, trait.fingerprint, now + monitoring_time);
  if (on_crash) on_crash(report);
}

void crash_monitor::monitor_service(const std::string& service,
                                    monotonic_time now) {
  set_expiry(monitored_, routing::service_fingerprint(service),
             now + monitoring_time);
}

void crash_monitor::run_began(const std::string& service,
                              const trait_list& parts) {
  record_success(routing::service_fingerprint(service));
  for (const run_trait& it : parts) record_success(it.fingerprint);
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
  attribution_.record_success(fingerprint, context_.clock.now());
  if (on_success) on_success(fingerprint);
}

bool crash_monitor::holds_any() const {
  return !local_holds_.empty() || !context_.store.held_requests().empty();
}

std::optional<attempt> crash_monitor::refusal_of(
    const trait_list& traits) const {
  const auto is_held = [this](const run_trait& it) {
    return local_holds_.contains(it.fingerprint) ||
           context_.store.held_requests().contains(it.fingerprint);
  };
  const auto held = std::find_if(traits.begin(), traits.end(), is_held);
  if (held == traits.end()) return std::nullopt;
  const std::string cause =
      held->kind == trait_kind::request
          ? "endpoints crash when they run this request; its fingerprint is "
          : "endpoints crash when they run requests with a part of this "
            "prompt; "
            "the fingerprint of the part is ";
  return failed_attempt(
      run_state::no,
      {error_kind::request_held, cause + held->fingerprint,
       "change the request; an operator may release it with `trestlepost "
       "release " +
           held->fingerprint + "`"},
      retry_after_held);
}

bool crash_monitor::is_suspect(const trait_list& traits) const {
  return std::any_of(traits.begin(), traits.end(), [this](const run_trait& it) {
    return suspects_.contains(it.fingerprint);
  });
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
  for (const std::string& it : fingerprints) hold_locally(it);
}

void crash_monitor::hold_locally(const std::string& fingerprint) {
  // A request held by the configuration stays held until an operator releases
  // it, so a local hold is not needed.
  if (context_.store.held_requests().contains(fingerprint)) return;
  set_expiry(local_holds_, fingerprint, context_.clock.now() + local_hold_time);
  log_event(log_level::info, "request-held-locally",
            {{"fingerprint", fingerprint}});
}

void crash_monitor::apply_own_attribution() {
  add_suspects(attribution_.take_suspects());
  const monotonic_time now = context_.clock.now();
  for (const routing::hold_proposal& it :
       attribution_.take_hold_proposals(now)) {
    hold_locally(it.fingerprint);
  }
}

void crash_monitor::apply_releases() {
  const config::hold_changes changes = holds_.update(context_.store);
  // The configuration holds them now; from here on only an operator releases
  // them.
  for (const std::string& it : changes.held) local_holds_.erase(it);
  for (const std::string& it : changes.released) {
    attribution_.forget(it);
    monitored_.erase(it);
    suspects_.erase(it);
  }
}

void crash_monitor::remove_expired() {
  const monotonic_time now = context_.clock.now();
  if (now < next_cleanup_) return;
  next_cleanup_ = now + cleanup_interval;
  erase_expired(monitored_, now);
  erase_expired(suspects_, now);
  erase_expired(local_holds_, now);
  refusals_.remove_expired(now);
}

void crash_monitor::tick() {
  apply_own_attribution();
  apply_releases();
  remove_expired();
}

}  // namespace trestlepost::gateway

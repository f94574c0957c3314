#include "trestlepost/gateway/crash_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::connect_outcome;

// An exiting process closes its connections one by one, and its listening
// socket possibly last. The probe waits this long, and interruptions within
// this time are evaluated together.
constexpr milliseconds time_to_end{20};

// How long, and for how many requests, the completion of a request involved in
// a crash is monitored.
constexpr std::chrono::minutes watch_time{10};
constexpr std::size_t most_watched = 4096;
// How long a gateway holds a request on its own decision. The configuration
// lists the request by then, unless the control nodes have lost their majority.
constexpr std::chrono::seconds own_hold_time{60};

// Expired entries are removed at this interval, since scanning thousands of
// them in each tick costs too much CPU time on a small VM.
constexpr std::chrono::seconds cleaning_interval{1};

using times_by_fingerprint = std::map<std::string, monotonic_time>;

void watch(times_by_fingerprint& all, const std::string& fingerprint,
           monotonic_time until) {
  if (all.size() >= most_watched && !all.contains(fingerprint)) {
    const auto first_over = std::min_element(
        all.begin(), all.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    all.erase(first_over);
  }
  all[fingerprint] = until;
}

void erase_over(times_by_fingerprint& all, monotonic_time now) {
  std::erase_if(all, [now](const auto& it) { return it.second <= now; });
}

std::string_view name_of(connect_outcome it) {
  switch (it) {
    case connect_outcome::refused:
      return "crashed";
    case connect_outcome::opened:
      return "well";
    case connect_outcome::silent:
      break;
  }
  return "silent";
}

}  // namespace

void crash_monitor::run_interrupted(const std::string& fingerprint,
                                    const run_location& at) {
  const auto [broken, first] =
      broken_at_.try_emplace(at.endpoint, std::set<std::string>());
  broken->second.insert(fingerprint);
  if (!first) return;
  run_location asked = at;
  transport::asio::co_spawn(context_.io, ask(std::move(asked)),
                            transport::asio::detached);
}

transport::awaitable<void> crash_monitor::ask(run_location at) {
  transport::timer timer(context_.io);
  timer.expires_after(time_to_end);
  boost::system::error_code ec;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  std::string address = at.address;
  const connect_outcome found =
      co_await context_.client.try_connect(std::move(address));
  const std::set<std::string> broken =
      std::move(broken_at_.extract(at.endpoint).mapped());
  const std::string outcome(name_of(found));
  context_.metrics.runs_broke(at.service, outcome, broken.size());
  log_event(log_level::info, "endpoint-runs-interrupted",
            {{"endpoint", at.endpoint},
             {"service", at.service},
             {"runs", std::to_string(broken.size())},
             {"endpoint_is", outcome}});
  if (found != connect_outcome::refused) co_return;
  for (const std::string& it : broken) crashed(it, at);
}

void crash_monitor::crashed(const std::string& fingerprint,
                            const run_location& at) {
  const monotonic_time now = context_.clock.now();
  log_event(log_level::info, "run-ended-by-crash",
            {{"fingerprint", fingerprint},
             {"endpoint", at.endpoint},
             {"service", at.service}});
  const routing::crash_report report{fingerprint, at.endpoint, at.service, now};
  blame_.crashed(report, now);
  watch(watched_, fingerprint, now + watch_time);
  if (on_crash) on_crash(report);
}

void crash_monitor::run_completed(const std::string& fingerprint) {
  const auto watched = watched_.find(fingerprint);
  if (watched == watched_.end()) return;
  watched_.erase(watched);
  suspects_.erase(fingerprint);
  held_here_.erase(fingerprint);
  blame_.ended_well(fingerprint, context_.clock.now());
  if (on_run_completed) on_run_completed(fingerprint);
}

bool crash_monitor::holds_any() const {
  return !held_here_.empty() || !context_.store.held_requests().empty();
}

std::optional<attempt> crash_monitor::refusal_of(
    const std::string& fingerprint) const {
  const bool held = held_here_.contains(fingerprint) ||
                    context_.store.held_requests().contains(fingerprint);
  if (!held) return std::nullopt;
  return failed_attempt(
      run_state::no,
      {error_kind::request_held,
       "endpoints crash when they run this request; its fingerprint is " +
           fingerprint,
       "change the request; an operator may release it with `trestlepost "
       "release " +
           fingerprint + "`"},
      after_held);
}

bool crash_monitor::is_suspect(const std::string& fingerprint) const {
  return suspects_.contains(fingerprint);
}

void crash_monitor::add_suspects(const std::vector<std::string>& fingerprints) {
  const monotonic_time until = context_.clock.now() + watch_time;
  for (const std::string& it : fingerprints) {
    watch(watched_, it, until);
    watch(suspects_, it, until);
  }
}

void crash_monitor::add_proposed_holds(
    const std::vector<std::string>& fingerprints) {
  for (const std::string& it : fingerprints) hold_here(it);
}

void crash_monitor::hold_here(const std::string& fingerprint) {
  // Already held by the configuration; only an operator may release it.
  if (context_.store.held_requests().contains(fingerprint)) return;
  watch(held_here_, fingerprint, context_.clock.now() + own_hold_time);
  log_event(log_level::info, "request-held-locally",
            {{"fingerprint", fingerprint}});
}

void crash_monitor::judge_own() {
  add_suspects(blame_.take_suspects());
  const monotonic_time now = context_.clock.now();
  for (const routing::crash_verdict& it : blame_.take_verdicts(now)) {
    hold_here(it.fingerprint);
  }
}

void crash_monitor::note_released() {
  const config::hold_changes changes = holds_.update(context_.store);
  // The configuration holds them now; from here on only an operator releases
  // them.
  for (const std::string& it : changes.held) held_here_.erase(it);
  for (const std::string& it : changes.released) {
    blame_.forget(it);
    watched_.erase(it);
    suspects_.erase(it);
  }
}

void crash_monitor::forget_old() {
  const monotonic_time now = context_.clock.now();
  if (now < next_cleaning_) return;
  next_cleaning_ = now + cleaning_interval;
  erase_over(watched_, now);
  erase_over(suspects_, now);
  erase_over(held_here_, now);
}

void crash_monitor::tick() {
  judge_own();
  note_released();
  forget_old();
}

}  // namespace trestlepost::gateway

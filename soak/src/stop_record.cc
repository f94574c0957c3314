#include "stop_record.h"

#include <algorithm>

namespace trestlepost::soak {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The last part of `drain_timeout`, in which a stop may cut streams.
constexpr milliseconds end_of_stop{1000};
// Further lost requests are only counted.
constexpr int max_reports = 20;

bool is_stream(const planned_request& it) {
  return it.route == "live" || it.route == "once";
}

}  // namespace

void stop_record::add_stop(planned_stop it) {
  const milliseconds time = duration_cast<milliseconds>(it.exited - it.begun);
  longest_stop_ = std::max(longest_stop_, time);
  if (it.status != 0 || time >= drain_timeout_) {
    violations_.push_back(
        "the stop of " + it.node + " took " + std::to_string(time.count()) +
        " of " + std::to_string(drain_timeout_.count()) +
        " ms and ended with status " + std::to_string(it.status));
  }
  stops_.push_back(std::move(it));
}

bool stop_record::is_cut_by_stop(const planned_request& it) const {
  // The entry may have forwarded it to the gateway that stops.
  return std::any_of(
      stops_.begin(), stops_.end(), [this, &it](const planned_stop& stop) {
        return it.written_at < stop.begun &&
               it.ended_at >= stop.begun + drain_timeout_ - end_of_stop &&
               it.ended_at <= stop.exited + crossing_time;
      });
}

std::string stop_record::describe_end(const planned_request& it,
                                      bool ran) const {
  if (!it.written) return "unsent";
  const bool at_once = it.ended_at - it.written_at <= crossing_time;
  if (!ran && it.closed && at_once)
    return it.follows_answer ? "crossed-after-answer" : "crossed";
  if (is_stream(it) && is_cut_by_stop(it)) return "cut-" + it.route;
  const bool expired = it.ended_at - it.written_at >= timeout_;
  if (is_stream(it) && expired && it.closed) return "expired-" + it.route;
  return "lost";
}

void stop_record::check(const planned_request& it, const endpoint_names& ran) {
  if (it.complete) return;
  const std::string end = describe_end(it, !ran.empty());
  if (++ends_[end] > max_reports || end != "lost") return;
  std::string report =
      "request " + it.outcome.id + " (" + it.route + ") at " + it.entry +
      (it.closed ? " was cut " : " had no answer ") +
      std::to_string(
          duration_cast<milliseconds>(it.ended_at - it.written_at).count()) +
      " ms after its last byte; " +
      (ran.empty() ? "it did not run" : "it ran at " + ran.front());
  for (const planned_stop& stop : stops_) {
    if (stop.node != it.entry || it.ended_at < stop.begun) continue;
    if (it.ended_at > stop.exited + crossing_time) continue;
    report +=
        "; cut " +
        std::to_string(
            duration_cast<milliseconds>(it.ended_at - stop.begun).count()) +
        " ms into a stop";
  }
  violations_.push_back(std::move(report));
}

}  // namespace trestlepost::soak

#include "configuration/poll_scheduler.h"

#include <algorithm>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Interval after the first poll of an unconfirmed node, which accepts no
// configuration and sends no requests to other regions.
constexpr milliseconds urgent_interval{150};
// In default intervals: the longest delay before an unanswered poll is sent to
// the same control node again.
constexpr int max_retry_delay = 4;
constexpr int max_doublings = 8;
// Intervals vary by this share in both directions.
constexpr double jitter = 0.1;

milliseconds doubled(milliseconds value, int times, milliseconds limit) {
  const milliseconds out = value * (1 << std::clamp(times, 0, max_doublings));
  return std::min(out, limit);
}

}  // namespace

poll_scheduler::poll_scheduler(milliseconds default_interval,
                               random_source& random)
    : default_interval_(default_interval), random_(random) {}

std::optional<planned_poll> poll_scheduler::next(
    const poll_situation& situation, monotonic_time now) {
  if (!is_due(now)) return std::nullopt;
  std::optional<planned_poll> out = choose(situation, now);
  if (!out) return std::nullopt;
  record_sent(out->address, now);
  next_poll_at_ = now + with_jitter(interval(situation.confirmed));
  due_now_ = false;
  return out;
}

std::optional<planned_poll> poll_scheduler::choose(
    const poll_situation& situation, monotonic_time now) {
  const std::string& leader = situation.leader;
  const bool leader_may_answer =
      !leader.empty() && (due_now_ || may_poll(leader, now));
  if (leader_may_answer) return planned_poll{leader, false};
  const std::optional<std::string> other =
      next_in_turn(situation.control_nodes, leader, now);
  if (!other) return std::nullopt;
  return planned_poll{*other, !leader.empty()};
}

std::optional<std::string> poll_scheduler::next_in_turn(
    const std::vector<std::string>& control_nodes, const std::string& leader,
    monotonic_time now) {
  for (std::size_t n = 0; n < control_nodes.size(); ++n) {
    const std::string& it = control_nodes[next_index_++ % control_nodes.size()];
    if (it != leader && may_poll(it, now)) return it;
  }
  return std::nullopt;
}

bool poll_scheduler::may_poll(const std::string& address,
                              monotonic_time now) const {
  const auto it = unanswered_.find(address);
  return it == unanswered_.end() || now >= it->second.retry_at;
}

void poll_scheduler::record_sent(const std::string& address,
                                 monotonic_time now) {
  ++unconfirmed_polls_;
  unanswered_polls& it = unanswered_[address];
  it.retry_at = now + with_jitter(doubled(default_interval_, it.count,
                                          max_retry_delay * default_interval_));
  ++it.count;
}

void poll_scheduler::record_answer(const std::string& address) {
  unanswered_.erase(address);
}

void poll_scheduler::record_new_leader(monotonic_time now) {
  if (new_leader_at_ && now < *new_leader_at_ + default_interval_) return;
  new_leader_at_ = now;
  due_now_ = true;
}

milliseconds poll_scheduler::interval(bool confirmed) const {
  if (confirmed) return default_interval_;
  return doubled(urgent_interval, unconfirmed_polls_ - 1, default_interval_);
}

milliseconds poll_scheduler::with_jitter(milliseconds value) {
  const double factor = 1 - jitter + 2 * jitter * random_.fraction();
  return std::chrono::duration_cast<milliseconds>(value * factor);
}

}  // namespace trestlepost::node

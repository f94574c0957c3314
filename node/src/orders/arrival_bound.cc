#include "orders/arrival_bound.h"

#include <algorithm>

namespace trestlepost::node {

void arrival_bound::record_tick(const node_moment& now) {
  const bool settled = now.at >= resumed_at_ + settling_time;
  if (before_stall_ && settled) before_stall_.reset();
  const bool stalled =
      !ticks_.empty() && now.at >= ticks_.back().at + stall_threshold;
  if (stalled) {
    if (!before_stall_) before_stall_ = ticks_.front();
    resumed_at_ = now.at;
  }
  ticks_.push_back(now);
  if (ticks_.size() > kept_ticks) ticks_.pop_front();
}

bool arrival_bound::has_stalled(monotonic_time now) const {
  return before_stall_ && now < resumed_at_ + settling_time;
}

node_moment arrival_bound::arrival(
    monotonic_time now,
    std::optional<std::chrono::milliseconds> since_data) const {
  node_moment out = before_arrival(now);
  if (!since_data) return out;
  const bool is_certain = since_data->count() > 0 || !has_stalled(now);
  if (!is_certain) return out;
  out.at = std::max(out.at, now - *since_data);
  return out;
}

node_moment arrival_bound::before_arrival(monotonic_time now) const {
  if (has_stalled(now)) return *before_stall_;
  // Before the first tick, the process has not opened its sockets yet.
  return ticks_.empty() ? node_moment{now, 0} : ticks_.front();
}

}  // namespace trestlepost::node

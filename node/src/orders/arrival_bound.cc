#include "orders/arrival_bound.h"

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

node_moment arrival_bound::before_arrival(monotonic_time now) const {
  const bool settled = now >= resumed_at_ + settling_time;
  if (before_stall_ && !settled) return *before_stall_;
  // Before the first tick, the process has not opened its sockets yet.
  return ticks_.empty() ? node_moment{now, 0} : ticks_.front();
}

}  // namespace trestlepost::node

#include "orders/leader_clock.h"

#include <algorithm>
#include <utility>

namespace trestlepost::node {

void leader_clock::record(consensus::term_number term, monotonic_time sent_at,
                          monotonic_time now) {
  if (term < term_) return;
  const bool new_term = term != std::exchange(term_, term);
  if (new_term || now >= period_started_ + 2 * period) offset_.reset();
  if (new_term || now >= period_started_ + period) {
    previous_offset_ = std::exchange(offset_, std::nullopt);
    period_started_ = now;
  }
  const offset latest = sent_at - now;
  offset_ = std::max(offset_.value_or(latest), latest);
}

std::optional<monotonic_time> leader_clock::to_leader_time(
    consensus::term_number term, monotonic_time at) const {
  if (term == 0 || term != term_ || !offset_) return std::nullopt;
  return at + std::max(*offset_, previous_offset_.value_or(*offset_));
}

}  // namespace trestlepost::node

#include "orders/leader_clock.h"

namespace trestlepost::node {

void leader_clock::record(consensus::term_number term, monotonic_time sent_at,
                          monotonic_time now) {
  if (term < term_) return;
  term_ = term;
  offset_ = sent_at - now;
}

std::optional<monotonic_time> leader_clock::to_leader_time(
    consensus::term_number term, monotonic_time at) const {
  if (term == 0 || term != term_) return std::nullopt;
  return at + offset_;
}

}  // namespace trestlepost::node

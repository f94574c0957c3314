#include "orders/decision_history.h"

namespace trestlepost::node {

void decision_history::record(consensus::term_number term,
                              config::revision_number revision,
                              monotonic_time now) {
  if (term != term_) decisions_.clear();
  term_ = term;
  if (!decisions_.empty() && decisions_.back().revision >= revision) return;
  decisions_.push_back({revision, now});
  // The newest decision that is older than `kept_time` is kept as well.
  while (decisions_.size() > 1 && decisions_[1].at + kept_time < now) {
    decisions_.pop_front();
  }
}

config::revision_number decision_history::decided_before(
    consensus::term_number term, monotonic_time at) const {
  config::revision_number out = 0;
  if (term != term_) return out;
  for (const decision& it : decisions_) {
    if (it.at >= at) break;
    out = it.revision;
  }
  return out;
}

}  // namespace trestlepost::node

// The times at which a leader decided the newest revisions.
#pragma once

#include <chrono>
#include <deque>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"
#include "trestlepost/consensus/types.h"

namespace trestlepost::node {

/// Determines which revisions an order cannot have been overtaken by: those
/// that were decided before it was given.
class decision_history {
 public:
  /// Records that `revision` was decided at `now`, under the leader of `term`.
  /// Decisions of earlier terms are forgotten.
  void record(consensus::term_number term, config::revision_number revision,
              monotonic_time now);

  /// The newest revision that was decided before `at` in `term`; 0 if unknown.
  config::revision_number decided_before(consensus::term_number term,
                                         monotonic_time at) const;

 private:
  struct decision {
    config::revision_number revision = 0;
    monotonic_time at;
  };

  /// Longer than an order is valid.
  static constexpr std::chrono::milliseconds kept_time{5000};

  consensus::term_number term_ = 0;
  std::deque<decision> decisions_;  // oldest first
};

}  // namespace trestlepost::node

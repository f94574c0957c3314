// Converts times of this node into the leader's clock.
#pragma once

#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/consensus/types.h"

namespace trestlepost::node {

/// The clocks of nodes are not synchronised. A message that tells when the
/// leader sent it bounds the difference: it was received no earlier than that.
/// The fastest of the recent messages is the closest bound. Older ones don't
/// count, since the clocks drift.
class leader_clock {
 public:
  /// Records that a message arrived at `now`, which the leader of `term` sent
  /// at `sent_at` by its own clock.
  void record(consensus::term_number term, monotonic_time sent_at,
              monotonic_time now);

  /// A time that is not later than `at`, by the clock of the leader of `term`;
  /// nullopt if no message of this leader has arrived.
  std::optional<monotonic_time> to_leader_time(consensus::term_number term,
                                               monotonic_time at) const;

 private:
  consensus::term_number term_ = 0;
  /// The leader's time minus this node's, reduced by the time that the fastest
  /// message of a period took.
  using offset = monotonic_time::duration;

  static constexpr std::chrono::milliseconds period{5000};

  monotonic_time period_started_;
  std::optional<offset> offset_;           // of the current period
  std::optional<offset> previous_offset_;  // of the period before
};

}  // namespace trestlepost::node

// Determines which revision of the configuration has been in force on this node
// for a minimum time.
#pragma once

#include <chrono>
#include <deque>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/change.h"

namespace trestlepost::node {

/// Tracks the revisions in force and the newest one that has settled.
class settled_revision {
 public:
  /// A revision settles when it has been in force for `settle_time`.
  explicit settled_revision(std::chrono::milliseconds settle_time)
      : settle_time_(settle_time) {}

  /// Records that `revision` is in force at `now`.
  void record(config::revision_number revision, monotonic_time now);
  /// The newest revision that has settled at `now`; 0 if there is none.
  config::revision_number newest_settled(monotonic_time now);
  /// The first recorded revision; 0 if there is none.
  config::revision_number first() const { return first_; }

 private:
  struct observed_revision {
    config::revision_number revision = 0;
    monotonic_time since;
  };

  std::chrono::milliseconds settle_time_;
  config::revision_number first_ = 0;
  config::revision_number settled_ = 0;
  std::deque<observed_revision> unsettled_;  // oldest first
};

}  // namespace trestlepost::node

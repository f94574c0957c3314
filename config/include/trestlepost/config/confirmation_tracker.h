// Measures how long configuration changes take to reach every watcher.
#pragma once

#include <chrono>
#include <deque>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// A revision that all watchers have, and the time from its decision until the
/// last of them reported it.
struct confirmed_revision {
  revision_number revision = 0;
  std::chrono::milliseconds latency{0};
};

/// Tracks revisions from their decision on the leader until all watchers have
/// reported them.
class confirmation_tracker {
 public:
  /// Records that all revisions up to `revision` are decided. A repeated call
  /// keeps the first time.
  void record_decision(revision_number revision, monotonic_time now);
  /// Records that all watchers have `revision`. Returns the revisions that this
  /// confirms, each of them once.
  std::vector<confirmed_revision> confirm(revision_number revision,
                                          monotonic_time now);
  void clear() { waiting_.clear(); }
  /// Whether no revision waits for its confirmation.
  bool empty() const { return waiting_.empty(); }

 private:
  struct waiting_revision {
    revision_number revision = 0;
    monotonic_time decided_at;
  };

  std::deque<waiting_revision> waiting_;
};

}  // namespace trestlepost::config

// How long changes take until every watcher holds them.
#pragma once

#include <chrono>
#include <deque>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// A revision that all watchers hold, and how long after its decision.
struct confirmed_revision {
  revision_number revision = 0;
  std::chrono::milliseconds taken{0};
};

/// Follows the revisions that a leader decides until they are confirmed.
class confirmation_tracker {
 public:
  /// All revisions up to `revision` are decided.
  void decided(revision_number revision, monotonic_time now);
  /// All watchers hold `held`: the revisions that are confirmed by this.
  std::vector<confirmed_revision> confirmed(revision_number held,
                                            monotonic_time now);
  void clear() { waiting_.clear(); }

 private:
  struct waiting_revision {
    revision_number revision = 0;
    monotonic_time decided_at;
  };

  std::deque<waiting_revision> waiting_;
};

}  // namespace trestlepost::config

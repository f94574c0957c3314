// Tells how long other nodes have had a newer configuration than this one.
#pragma once

#include <chrono>
#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::node {

/// Measures the lag, and logs the start and the end of one that is longer than
/// a change takes to reach all nodes.
class revision_lag {
 public:
  /// Records the revision of this node, when a leader last confirmed it, and
  /// the newest one that live nodes report.
  void record(config::revision_number own, config::revision_number newest,
              std::optional<monotonic_time> confirmed_at, monotonic_time now);
  /// How long live nodes have had a newer configuration, since the last
  /// confirmation at the earliest; 0 if none has one.
  std::chrono::milliseconds lag(monotonic_time now) const;

 private:
  std::optional<monotonic_time> since_;
  bool logged_ = false;
};

}  // namespace trestlepost::node

// Tells how long other nodes have had a newer configuration than this one.
#pragma once

#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::node {

/// Logs the start and the end of each lag that is longer than a change takes to
/// reach all nodes.
class revision_lag {
 public:
  /// Records the revision of this node and the newest one that live nodes
  /// report.
  void record(config::revision_number own, config::revision_number newest,
              monotonic_time now);

 private:
  std::optional<monotonic_time> since_;
  bool logged_ = false;
};

}  // namespace trestlepost::node

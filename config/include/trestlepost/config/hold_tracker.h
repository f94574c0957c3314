// Reports which requests became held, and which were released, between two
// revisions of the configuration.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Fingerprints of the requests that became held or were released.
struct hold_changes {
  std::vector<std::string> held;
  std::vector<std::string> released;
};

/// Compares the held requests of successive revisions.
class hold_tracker {
 public:
  /// Returns the differences between `store` and the store of the last call.
  hold_changes update(const object_store& store);

 private:
  std::set<std::string> held_;
  revision_number last_revision_ = 0;
};

}  // namespace trestlepost::config

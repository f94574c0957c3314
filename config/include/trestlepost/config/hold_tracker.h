// Which requests the configuration has begun to hold back, and which it has
// released.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Fingerprints of requests.
struct hold_changes {
  std::vector<std::string> held;
  std::vector<std::string> released;
};

class hold_tracker {
 public:
  /// What has changed since the last call.
  hold_changes update(const object_store& store);

 private:
  std::set<std::string> held_;
  revision_number noted_revision_ = 0;
};

}  // namespace trestlepost::config

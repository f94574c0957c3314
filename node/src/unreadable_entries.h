// Counts the unusable entries of the platform's endpoint list and logs each of
// them once.
#pragma once

#include <set>
#include <vector>

#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::node {

/// Tracks which unusable entries have been logged.
class unreadable_entries {
 public:
  /// Records the unusable entries of one read of the list. Logs each pair of
  /// entry and cause when it first occurs; returns how many were logged.
  std::size_t record(const std::vector<surface::unreadable_entry>& found);

  /// The number of unusable entries in the last read.
  std::size_t count() const { return count_; }

 private:
  std::set<surface::unreadable_entry> logged_;
  std::size_t count_ = 0;
};

}  // namespace trestlepost::node

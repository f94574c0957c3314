// Entries of the platform's list that name no endpoint to use: counted, and
// logged once each.
#pragma once

#include <set>
#include <vector>

#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::node {

class unreadable_entries {
 public:
  /// Takes in those of one reading of the list. Each cause of each entry is
  /// logged when it is first seen; returns how many were.
  std::size_t note(const std::vector<surface::unreadable_entry>& found);

  /// How many the last reading had.
  std::size_t count() const { return count_; }

 private:
  std::set<surface::unreadable_entry> logged_;
  std::size_t count_ = 0;
};

}  // namespace trestlepost::node

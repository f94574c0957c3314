// The entry directory: which nodes a caller should use, best first.
#pragma once

#include <string>
#include <vector>

#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership {

struct entry_view {
  std::string node;
  std::string address;
  std::string region;
  std::string availability_zone;
  std::string state;
};

/// What ranks the entries for one asker.
struct entry_query {
  std::string near_region;
  std::string near_zone;
  /// Regions whose entries may take the caller's requests; empty: all.
  std::vector<std::string> allowed_regions;
};

/// Ready nodes first, near ones before far ones, less loaded ones before
/// busier ones; isolated nodes last; draining, starting and silent ones not
/// at all.
std::vector<entry_view> rank_entries(const node_table& table,
                                     const entry_query& query,
                                     monotonic_time now);

}  // namespace trestlepost::membership

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
  /// The host that the caller will ask for, or empty.
  std::string host{};
};

/// The entries for a caller who may use any of its region: live ones, else
/// those that were heard not long ago. Entries of other regions stand in only
/// when all of the caller's region are known to be gone, those of
/// `preferred_regions` first; a region of which nothing is known may be well,
/// so nothing is told then.
std::vector<entry_view> entries_near(
    const node_table& table, const entry_query& query,
    const std::vector<std::string>& preferred_regions, monotonic_time now);

/// Ready nodes first, near ones before far ones, less loaded ones before
/// busier ones; isolated nodes last; draining, starting and silent ones not
/// at all.
std::vector<entry_view> rank_entries(const node_table& table,
                                     const entry_query& query,
                                     monotonic_time now);

}  // namespace trestlepost::membership

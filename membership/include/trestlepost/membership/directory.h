// The entry directory: which nodes a caller should use, best first.
#pragma once

#include <chrono>
#include <set>
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

/// Where the requests for one host may run.
struct host_regions {
  std::vector<std::string> homes;  // that some route is bound to
  bool every_route = false;        // no route may be served elsewhere
  /// Regions in which nothing is served now: they are evacuated.
  std::set<std::string> closed{};

  /// Whether some request for the host can run in `region`.
  bool may_run_in(const std::string& region) const;
};

/// Who answers a look-up, and how soon it takes an entry for lost.
struct directory_options {
  /// Region of the directory node, which hears that region's nodes itself.
  std::string own_region;
  /// An entry of the own region that was not heard for so long is left out
  /// while another entry can take its callers. A caller that opens a
  /// connection to a VM without power loses a second, and one that waits on
  /// an open one its whole time, so this is a few heartbeats and well below
  /// the time after which a node is suspected.
  std::chrono::milliseconds silent_after{600};
};

/// The entries for a caller who may use any of its region.
///
/// Where that region can't run the host's requests, those of the regions that
/// can: the way through an entry of its own region costs a round trip between
/// regions and breaks when these are cut from each other.
///
/// While no entry of its region is heard, entries of other regions stand in,
/// those of the homes first; beside them those that only a cut may hide: a
/// caller drops one that does not answer after its first try. Entries outside
/// the homes never stand in where every route is bound, nor where the caller's
/// region only restarts. Of a region of which nothing is known nothing is
/// told: it may be well.
std::vector<entry_view> entries_near(const node_table& table,
                                     const entry_query& query,
                                     const host_regions& host,
                                     const directory_options& options,
                                     monotonic_time now);

/// Ready nodes first, near ones before far ones, less loaded ones before
/// busier ones; isolated nodes last; draining, starting and silent ones not
/// at all.
std::vector<entry_view> rank_entries(const node_table& table,
                                     const entry_query& query,
                                     monotonic_time now);

}  // namespace trestlepost::membership

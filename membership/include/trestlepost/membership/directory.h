// The entry directory: ranks the gateways that a caller should connect to.
#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership {

/// An entry: a gateway that accepts callers.
struct entry_view {
  std::string node;
  std::string address;
  std::string region;
  std::string availability_zone;
  std::string state;
};

/// Criteria by which entries are selected and ranked for one caller.
struct entry_query {
  std::string near_region;
  std::string near_zone;
  /// Regions whose entries may accept the caller's requests; empty: all.
  std::vector<std::string> allowed_regions;
  /// Host that the caller's requests are for; empty if unknown.
  std::string host{};
};

/// The regions in which requests for one host may run.
struct host_regions {
  std::vector<std::string> homes;  // to which some route is bound
  bool all_routes_bound = false;   // every route is bound to them
  /// Evacuated regions; they serve no requests.
  std::set<std::string> evacuated{};

  /// Whether some request for the host can run in `region`.
  bool may_run_in(const std::string& region) const;
};

/// Region of the directory node, and the time without heartbeats after which an
/// entry counts as silent.
struct directory_options {
  /// Region of the directory node, which receives that region's heartbeats
  /// itself.
  std::string own_region;
  /// An entry of `own_region` without heartbeats for this time is omitted
  /// while another entry can accept its callers. The value is a few heartbeats
  /// and well below the time to suspect a node, because a failed VM is costly
  /// for callers: a new connection to it takes a second to fail, and a request
  /// on an open connection waits for its whole timeout.
  std::chrono::milliseconds silent_after{600};
};

/// Returns the entries for a caller, by default all of its region.
///
/// If that region can't run the host's requests, returns entries of the regions
/// that can. A detour through the caller's region would cost a round trip
/// between regions and fail when the regions are partitioned.
///
/// If no entry of the caller's region is live, entries of other regions replace
/// them, those of home regions first. Entries that may only be unreachable from
/// this node are listed as well: a caller drops an entry after the first failed
/// attempt. Entries outside the home regions are never used if all routes are
/// bound, nor while the caller's region is only restarting. For a region
/// without any known node the result is empty, because the region may be
/// healthy.
std::vector<entry_view> find_entries(const node_table& table,
                                     const entry_query& query,
                                     const host_regions& host,
                                     const directory_options& options,
                                     monotonic_time now);

/// Ranks entries by state (ready before isolated), distance and load. Omits
/// draining, starting and unreachable nodes.
std::vector<entry_view> rank_entries(const node_table& table,
                                     const entry_query& query,
                                     monotonic_time now);

}  // namespace trestlepost::membership

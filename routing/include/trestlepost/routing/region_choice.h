// Ranks the permitted regions for a request by wait time and distance.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "trestlepost/routing/placement.h"

namespace trestlepost::routing {

/// State of a region for one service, as known to one gateway.
struct region_view {
  std::string region;
  bool reachable = false;      // a gateway there accepts forwarded requests
  bool has_endpoints = false;  // an endpoint of the service is usable
  std::chrono::milliseconds wait{0};        // in the queue of the region
  std::chrono::milliseconds round_trip{0};  // to the gateways of the region
};

/// Policies for ranking regions. `weighed` is the default; the others serve as
/// baselines for comparison.
enum class policy { weighed, home_only, round_robin, least_load };

struct region_choice_options {
  policy kind = policy::weighed;
  /// Extra time of a request outside its home region, without its caches.
  std::chrono::milliseconds cold_cost{150};
};

struct region_request {
  std::string local_region;
  /// False: only the local region may serve it (isolated node).
  bool may_leave_region = true;
  /// True: only the home region may serve it, since its ledger holds the
  /// record.
  bool bound_to_home = false;
  /// Request counter of this gateway, for round robin.
  std::uint64_t sequence = 0;
};

struct region_candidate {
  std::string region;
  bool eligible = false;
  std::chrono::milliseconds cost{0};
  std::string reason;
};

/// Returns all permitted regions, best first. Regions that can't serve the
/// request come last, with the reason.
std::vector<region_candidate> rank_regions(
    const placement& placed, const std::vector<region_view>& views,
    const region_request& request, const region_choice_options& options);

}  // namespace trestlepost::routing

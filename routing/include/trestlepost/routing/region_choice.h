// Which of the permitted regions serves a request now.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "trestlepost/routing/placement.h"

namespace trestlepost::routing {

/// What one gateway knows of a region for one service.
struct region_view {
  std::string region;
  bool reachable = false;      // some gateway of it takes forwarded requests
  bool has_endpoints = false;  // some endpoint of the service is usable
  std::chrono::milliseconds wait{0};        // in the queue there
  std::chrono::milliseconds round_trip{0};  // to its gateways
};

/// Names of the policies that are compared; `weighed` is the product's.
enum class policy { weighed, home_only, round_robin, least_load };

struct region_choice_options {
  policy kind = policy::weighed;
  /// Extra time of a request away from its caches.
  std::chrono::milliseconds cold_cost{150};
};

struct region_request {
  std::string own_region;
  /// False: only the own region may serve (an isolated node).
  bool may_cross = true;
  /// True: only the home region may serve (its ledger holds the record).
  bool bound_to_home = false;
  /// Counts the requests of this gateway, for round robin.
  std::uint64_t sequence = 0;
};

struct region_candidate {
  std::string region;
  bool eligible = false;
  std::chrono::milliseconds cost{0};
  std::string reason;
};

/// All permitted regions, the best one first; those that can't serve come
/// last with the reason.
std::vector<region_candidate> rank_regions(
    const placement& placed, const std::vector<region_view>& views,
    const region_request& request, const region_choice_options& options);

}  // namespace trestlepost::routing

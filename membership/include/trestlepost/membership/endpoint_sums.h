// Sums of the requests, pending tokens and cached prefixes that the gateways of
// a region report for each endpoint.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/membership/cached_prefix.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership {

/// Sums over `nodes` nodes.
struct endpoint_sums {
  std::uint32_t nodes = 0;
  std::map<std::string, std::uint32_t> in_flight;
  /// Prompt tokens waiting for prefill, by priority.
  std::map<std::string, std::vector<std::uint32_t>> pending;
  /// Prompt prefixes that endpoints were sent recently.
  std::vector<cached_prefix> cached_prefixes;
  /// The last statement of each endpoint to any of the nodes.
  trestlepost::membership::limit_statements limit_statements;

  bool operator==(const endpoint_sums&) const = default;
};

/// Adds the values of one node.
void add(endpoint_sums& sums, const heartbeat& in);

/// Removes the values of one node that `add` has added.
void subtract(endpoint_sums& sums, const heartbeat& in);

/// Sums over the nodes of `region` whose own heartbeats this node receives.
endpoint_sums sum_of(const node_table& table, const std::string& region,
                     monotonic_time now);

/// The sums without the values of `node`, to be sent to that node.
endpoint_sums excluding_node(endpoint_sums sums, const node_table& table,
                             const std::string& node, monotonic_time now);

/// Mean load of each service over the ready gateways of `region`. `wait`,
/// `event_interval` and `endpoints` are those of the gateway with the shortest
/// wait, because a request is sent to the best gateway.
service_loads service_means(const node_table& table, const std::string& region,
                            monotonic_time now);

/// Returns the means of other regions that were reported by nodes of these
/// regions. Means that other nodes of `own_region` reported are omitted: two
/// relays could otherwise keep outdated loads alive by reporting them to each
/// other.
std::map<std::string, service_loads> other_region_services(
    const node_table& table, const std::string& own_region, monotonic_time now);

json to_json(const endpoint_sums& value);
/// Values that are not numbers count as 0.
endpoint_sums endpoint_sums_from(const json& value);

}  // namespace trestlepost::membership

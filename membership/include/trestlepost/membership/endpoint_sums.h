// Sums of what the gateways of a region have under way at each endpoint.
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
  /// Prompt tokens that wait to be read, by priority.
  std::map<std::string, std::vector<std::uint32_t>> pending;
  /// Prompt beginnings that endpoints were sent a moment ago.
  std::vector<cached_prefix> cached_prefixes;

  bool operator==(const endpoint_sums&) const = default;
};

/// Adds what one node has under way.
void add(endpoint_sums& sums, const heartbeat& in);

/// Takes out what `add` put in.
void subtract(endpoint_sums& sums, const heartbeat& in);

/// The sums over the nodes of `region` whose own heartbeats come here.
endpoint_sums sum_of(const node_table& table, const std::string& region,
                     monotonic_time now);

/// The region's sums as they are told to one node: its own share left out.
endpoint_sums without(endpoint_sums sums, const node_table& table,
                      const std::string& node, monotonic_time now);

/// Means of the load of each service over the ready nodes of `region`; the
/// wait is the least one, as a request is sent to the best gateway.
std::map<std::string, service_load> service_means(const node_table& table,
                                                  const std::string& region,
                                                  monotonic_time now);

json to_json(const endpoint_sums& value);
/// What does not read as a number counts as 0.
endpoint_sums endpoint_sums_from(const json& value);

}  // namespace trestlepost::membership

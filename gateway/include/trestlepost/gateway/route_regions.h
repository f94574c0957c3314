// Selects the permitted region that serves a routed request.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/route_forwarder.h"

namespace trestlepost::gateway {

/// The region selected for a request and, if this gateway sends it to an
/// endpoint, the endpoint. Otherwise another gateway of the region serves it.
struct region_decision {
  std::string region;
  std::optional<chosen_endpoint> endpoint;
};

/// The attempts made for a request so far.
struct tried_regions {
  std::size_t attempts = 0;
  bool own_endpoints = false;
  /// No endpoint of this region could be reached by this gateway.
  bool own_unreached = false;
  bool own_gateways = false;     // other gateways of this region
  std::set<std::string> others;  // other regions
  /// Gateways that could not serve although others of their regions may.
  std::set<std::string> failed_gateways;
};

/// Returns a permitted region for `request`, or nothing if none can serve it
/// now. It is the local region, or another one with a probability that grows
/// with the gain in value. If this gateway reaches no local endpoint, another
/// gateway of the region serves the request. What was tried is excluded.
std::optional<region_decision> choose_region(const gateway_context& context,
                                             const endpoint_pool& local_pool,
                                             const route_forwarder& remote,
                                             const routed_request& request,
                                             const tried_regions& tried);

}  // namespace trestlepost::gateway

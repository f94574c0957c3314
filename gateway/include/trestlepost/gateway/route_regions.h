// Selects the permitted region that serves a routed request.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/route_forwarder.h"

namespace trestlepost::gateway {

/// The region selected for a request and, for the local region, the endpoint.
struct region_decision {
  std::string region;
  /// The evaluated endpoint, set for the local region only.
  std::optional<chosen_endpoint> endpoint;
};

/// Returns a permitted region for `request`, or nothing if none can serve it
/// now. It is the local region, or another one with a probability that grows
/// with the gain in value. Regions in `exhausted` are excluded.
std::optional<region_decision> choose_region(
    const gateway_context& context, const endpoint_pool& local_pool,
    const route_forwarder& remote, const routed_request& request,
    const std::set<std::string>& exhausted);

}  // namespace trestlepost::gateway

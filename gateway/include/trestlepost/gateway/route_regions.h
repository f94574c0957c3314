// Which permitted region serves a routed request now.
#pragma once

#include <optional>
#include <set>
#include <string>

#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/route_forwarder.h"

namespace trestlepost::gateway {

/// The region that serves a request, and its endpoint if it is the own one.
struct region_decision {
  std::string region;
  /// In the own region, the endpoint that was weighed.
  std::optional<chosen_endpoint> endpoint;
};

/// A permitted region for `request`, nothing when none can serve it now: the
/// own one, or with a chance that grows with the gain another one in which it
/// is worth more. `exhausted` regions are left out.
std::optional<region_decision> choose_region(
    const gateway_context& context, const endpoint_pool& own,
    const route_forwarder& remote, const routed_request& request,
    const std::set<std::string>& exhausted);

}  // namespace trestlepost::gateway

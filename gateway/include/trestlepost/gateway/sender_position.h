// The order in which the gateways of a region may send to an endpoint that
// bears few requests.
#pragma once

#include <string>

#include "trestlepost/gateway/context.h"
#include "trestlepost/routing/request_limiter.h"

namespace trestlepost::gateway {

/// Returns the number of gateways in the local region, including this one and
/// unreachable ones that may still serve their callers.
std::size_t region_gateway_count(const gateway_context& context);

/// Returns the place of this gateway by its rendezvous hash for `endpoint`.
routing::sender_position sender_position_of(const gateway_context& context,
                                            const std::string& endpoint);

}  // namespace trestlepost::gateway

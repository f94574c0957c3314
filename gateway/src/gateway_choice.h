// Selects the gateway that a request is forwarded to.
#pragma once

#include <string>

#include "trestlepost/gateway/context.h"

namespace trestlepost::gateway {

/// Returns the less loaded of two random gateways of `region` that reach
/// endpoints of `service`, or null if there is none.
const membership::node_record* choose_gateway(const gateway_context& context,
                                              const std::string& region,
                                              const std::string& service);

}  // namespace trestlepost::gateway

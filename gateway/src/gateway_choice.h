// Selects the gateway that a request is forwarded to.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "trestlepost/gateway/context.h"

namespace trestlepost::gateway {

/// Returns the gateways of `region` that reach endpoints of `service`, without
/// this one and those in `excluded`.
std::vector<const membership::node_record*> gateway_candidates(
    const gateway_context& context, const std::string& region,
    const std::string& service, const std::set<std::string>& excluded);

/// Returns the less loaded of two random candidates, or null if there is none.
const membership::node_record* choose_gateway(
    const gateway_context& context, const std::string& region,
    const std::string& service, const std::set<std::string>& excluded);

}  // namespace trestlepost::gateway

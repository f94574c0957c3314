// Summarizes the state of every region for one service, as reported to this
// gateway.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "trestlepost/gateway/admission.h"
#include "trestlepost/gateway/context.h"

namespace trestlepost::gateway {

/// Returns one view per region, without the regions in `exhausted`, which
/// refused the request.
std::vector<routing::region_view> region_views(
    const gateway_context& context, const admission& local,
    const std::string& service, const std::set<std::string>& exhausted);

}  // namespace trestlepost::gateway

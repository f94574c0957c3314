// Many routes as JSON: most differ from others in their name and place only,
// so what they share is written once.
#pragma once

#include <vector>

#include "trestlepost/config/traffic_plan.h"

namespace trestlepost::config {

/// {"like": [...], "at": [n, name, host, path prefix, ...]}: each route is like
/// the n-th of `like`, which have no names and places. The order is kept.
json to_json(const std::vector<route>& value);

/// Reads also a plain list of routes, as logs of earlier versions hold it. A
/// route that is cut off or like none is left out.
std::vector<route> routes_from(const json& value);

}  // namespace trestlepost::config

// Compact JSON encoding of route lists. Most routes differ only in name, host
// and path prefix, so settings that routes share are written once.
#pragma once

#include <vector>

#include "trestlepost/config/traffic_plan.h"

namespace trestlepost::config {

/// Encodes routes as {"like": [...], "at": [n, name, host, path prefix, ...]}.
/// "like" lists the distinct settings (routes without name, host and path
/// prefix); each route refers to its settings by the index n. The order is
/// kept.
json to_json(const std::vector<route>& value);

/// Decodes a route list. Also accepts a plain array of routes, as in logs of
/// earlier versions. Skips routes that are truncated, have values of a wrong
/// type or refer to an index that doesn't exist.
std::vector<route> routes_from(const json& value);

}  // namespace trestlepost::config

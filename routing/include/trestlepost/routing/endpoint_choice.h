// Which endpoint of a region serves a request now.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/random.h"
#include "trestlepost/membership/endpoint_tracker.h"

namespace trestlepost::routing {

struct endpoint_request {
  /// Hash of the prompt's prefix; 0 when the service has no cache.
  std::uint64_t affinity = 0;
  /// Endpoints that already failed this request.
  std::set<std::string> avoid;
  /// Gateways of the region that share the endpoints' limits.
  unsigned gateways = 1;
};

/// An endpoint with room, or nothing when all are at their limits.
std::optional<membership::endpoint_view> choose_endpoint(
    const std::vector<membership::endpoint_view>& endpoints,
    const endpoint_request& request, random_source& random);

/// Requests that the endpoints have room for, seen from this gateway.
unsigned free_slots(const std::vector<membership::endpoint_view>& endpoints,
                    unsigned gateways);

}  // namespace trestlepost::routing

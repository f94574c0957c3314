// Chooses the endpoint of a region that serves a request, by prefix affinity
// and load.
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
  /// Hash of the prompt's prefix; 0 if the service has no prefix cache.
  std::uint64_t affinity = 0;
  /// Endpoints on which this request already failed.
  std::set<std::string> avoid;
  /// Number of gateways in the region that share the endpoints' limits.
  unsigned gateways = 1;
};

/// Returns an endpoint with a free slot, or nothing if all are at their limits.
/// Endpoints in `avoid` are used only if no other one has a free slot.
std::optional<membership::endpoint_view> choose_endpoint(
    const std::vector<membership::endpoint_view>& endpoints,
    const endpoint_request& request, random_source& random);

/// Returns the number of free slots that this gateway may use.
unsigned free_slots(const std::vector<membership::endpoint_view>& endpoints,
                    unsigned gateways);

}  // namespace trestlepost::routing

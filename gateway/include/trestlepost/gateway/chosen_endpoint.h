// The endpoint of the local region selected for a routed request.
#pragma once

#include <cstdint>
#include <string>

#include "trestlepost/routing/completion_estimate.h"

namespace trestlepost::gateway {

/// An endpoint selected for a request.
struct chosen_endpoint {
  /// The name of the endpoint's current incarnation.
  std::string name;
  std::string address;
  routing::completion_estimate expected;
  /// The address of an endpoint that has cached parts of the prompt missing
  /// here; empty if none is known.
  std::string copy_cache_from;
  /// The number of prompt tokens the endpoint is expected to process.
  std::uint32_t prefill_tokens = 0;
  /// The probability that the endpoint accepts the request.
  double accept_probability = 1;
};

}  // namespace trestlepost::gateway

// The endpoint of the own region that serves a routed request.
#pragma once

#include <cstdint>
#include <string>

#include "trestlepost/routing/outlook.h"

namespace trestlepost::gateway {

/// One endpoint that was chosen for a request.
struct chosen_endpoint {
  /// Of its present life.
  std::string name;
  std::string address;
  routing::outlook expected;
  /// The address of an endpoint whose cache has parts of the prompt that this
  /// one lacks; empty: none is known.
  std::string copy_cache_from;
  /// Prompt tokens that it is expected to read.
  std::uint32_t read_tokens = 0;
  /// That it takes the request.
  double chance = 1;
};

}  // namespace trestlepost::gateway

// Determines the service that a call is addressed to, from its request target
// or from the body of a model call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"

namespace trestlepost::own {

/// The service of a call, and the path to request at its endpoint.
struct call_target {
  std::string service;  // empty for a model call, whose body names it
  std::string path;     // includes the query of a service call
};

/// Returns no value if the target addresses no service.
std::optional<call_target> read_target(std::string_view method,
                                       std::string_view target);

/// The routing information in the body of a model call.
struct model_call {
  std::string model;
  std::uint64_t affinity = 0;  // hash of the prompt's prefix; 0 for none
};
/// Fails if the body isn't JSON or names no model.
result<model_call> read_model_call(const std::string& body);

}  // namespace trestlepost::own

// Which service a call is for.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"

namespace trestlepost::own {

/// A call's service, and the path of the request there.
struct call_target {
  std::string service;  // empty: the body names it
  std::string path;     // at the endpoint
};

/// Nothing when the target is no call of a service.
std::optional<call_target> read_target(std::string_view method,
                                       std::string_view target);

/// What the body of a model call says.
struct model_call {
  std::string model;
  std::uint64_t affinity = 0;  // hash of the prompt's prefix; 0: none
};
/// An error when the body names no model.
result<model_call> read_model_call(const std::string& body);

}  // namespace trestlepost::own

// A model or service call, as handled inside the gateway. It names its service;
// requests that the traffic plan routes are defined in `routed_request.h`.
#pragma once

#include <memory>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/objects.h"
#include "trestlepost/surface/call_head.h"
#include "trestlepost/transport/request_body.h"

namespace trestlepost::gateway {

/// A validated request with its complete body.
struct incoming_request {
  /// The head with a valid request id. Its target is the path at the endpoint.
  surface::call_head head;
  std::shared_ptr<const config::caller> caller;
  std::shared_ptr<const config::service> service;
  config::label_map labels;
  transport::shared_text body;
  bool repeatable = true;
  std::string idempotency_key;
  int priority = 0;
  monotonic_time deadline;
  std::uint64_t affinity = 0;  // hash of the prompt's prefix; 0 if none

  /// Returns whether the ledger must grant the request before its first byte is
  /// sent.
  bool runs_once() const { return !repeatable && !idempotency_key.empty(); }
};

/// Returns a digest of the request's content. It distinguishes a retry from a
/// different request with the same idempotency key.
std::string request_digest(const incoming_request& request);

}  // namespace trestlepost::gateway

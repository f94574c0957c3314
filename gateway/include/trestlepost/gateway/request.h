// A request as the gateway handles it.
#pragma once

#include <memory>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/objects.h"
#include "trestlepost/surface/call_head.h"

namespace trestlepost::gateway {

/// A caller's request, checked and complete.
struct incoming_request {
  /// With a sound id; its target is the path at the endpoint.
  surface::call_head head;
  std::shared_ptr<const config::caller> caller;
  std::shared_ptr<const config::service> service;
  config::label_map labels;
  std::string body;
  bool repeatable = true;
  std::string idempotency_key;
  int priority = 0;
  monotonic_time deadline;
  std::uint64_t affinity = 0;  // hash of the prompt's prefix; 0: none

  /// Must the ledger grant it before its first byte goes out?
  bool runs_once() const { return !repeatable && !idempotency_key.empty(); }
};

/// Digest of what would run, to tell a resend from another request under the
/// same key.
std::string request_digest(const incoming_request& request);

}  // namespace trestlepost::gateway

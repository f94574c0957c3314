// The state of one attempt to run a request on an endpoint.
#pragma once

#include <memory>

#include "trestlepost/gateway/endpoint_runner.h"

namespace trestlepost::gateway {

// Retry-After of a request that was rejected without running.
constexpr std::chrono::milliseconds refused_retry_after{200};

struct endpoint_runner::active_run {
  const routed_request& request;
  const chosen_endpoint& endpoint;
  event_scanner& events;
  transport::http_exchange& exchange;
  std::shared_ptr<transport::http_call> call;
  routing::engine_table::ticket ticket = 0;
  monotonic_time started{};
  /// Deadline for the head of the answer.
  monotonic_time answer_by{};
  surface::endpoint_answer answer{};
  /// The endpoint has sent an event, or a whole successful answer.
  bool began = false;
};

}  // namespace trestlepost::gateway

// The result of one attempt to serve a request.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/base/error.h"
#include "trestlepost/surface/run_state.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

using surface::run_state;

/// States whether the caller received an answer and, if not, why.
struct attempt {
  /// The caller received an answer or the beginning of one; no other answer may
  /// follow.
  bool delivered = false;
  run_state ran = run_state::no;
  /// Why the caller received no complete answer. Always set unless `delivered`.
  /// Also set for an answer that was interrupted after its start.
  error cause;
  std::chrono::milliseconds retry_after{0};
  std::string endpoint;  // the endpoint tried, or empty
  std::string gateway;   // the gateway it was forwarded to, or empty
  unsigned sends = 0;    // endpoints the request was written to
  /// The endpoint's stream was interrupted after the caller received events
  /// from it. The answer is still open and must be continued or aborted.
  bool stream_interrupted = false;
  /// The connection to the endpoint was lost during the run.
  bool connection_lost = false;
  /// An error response from the endpoint itself. The caller receives it if
  /// there is no further attempt.
  std::optional<transport::http_response> endpoint_answer;
};

/// Returns whether `cause` is a lost connection rather than a deadline of this
/// gateway.
bool is_connection_loss(const error& cause);
/// Returns whether `call` failed with `cause` because its connection was lost,
/// rather than because this gateway has given it up.
bool is_connection_loss(const transport::http_call& call, const error& cause);

/// Returns whether the gateway that the request was forwarded to sent it to no
/// endpoint for reasons of its own, so that another gateway of the same region
/// may serve it.
bool is_gateway_failure(const attempt& it);

/// Returns an attempt that ended without an answer.
attempt failed_attempt(
    run_state ran, error cause,
    std::chrono::milliseconds retry_after = std::chrono::milliseconds(0));
/// Returns an attempt at a request that could not be read, because of `cause`.
attempt unread_attempt(error cause);

}  // namespace trestlepost::gateway

// Relays the answer to a request from an endpoint or another gateway to the
// caller.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "trestlepost/gateway/event_boundary.h"
#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// Non-streamed answers are buffered completely before they are sent, so that a
/// truncated one can be replaced.
inline constexpr std::size_t max_plain_answer_bytes = 16UL * 1024 * 1024;

/// Returns the answer of `call` without its body.
transport::http_response answer_head(const transport::http_call& call,
                                     const surface::endpoint_codec& codec);

/// How a relayed stream ended. If neither member is set, it is complete and the
/// exchange still has to be finished.
struct relayed_stream {
  bool caller_disconnected = false;
  /// Why the call was interrupted.
  std::optional<error> interruption;
  /// Where the stream ended, if the answer has no length.
  event_boundary events;
};

/// Sends `head`, then `first` and the rest of the stream piece by piece. Calls
/// `on_next` at each piece after the first. Cancels the call if the caller
/// disconnects, and aborts the exchange if the call is interrupted.
transport::awaitable<relayed_stream> relay_stream(
    transport::http_call& call, transport::http_exchange& exchange,
    transport::http_response head, std::string first,
    const std::function<void()>& on_next);

}  // namespace trestlepost::gateway

// Relays the answer to a request from an endpoint or another gateway to the
// caller.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "answer_reader.h"
#include "trestlepost/base/memory_budget.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/surface/endpoint_codec.h"

namespace trestlepost::gateway {

/// Returns the limit of a stream's size in bytes: what the tokens that its
/// request permits can take.
std::size_t max_stream_bytes(const routed_request& request);

/// Limit of a stream whose request states no number of tokens, or a huge one.
inline constexpr std::size_t max_stream_bytes_of_any = 64UL * 1024 * 1024;

/// Returns the answer of `call` without its body. It states where the body ends
/// only if `call` does.
transport::http_response answer_head(const transport::http_call& call,
                                     const surface::endpoint_codec& codec);

/// Returns how the body of an endpoint's answer of this status is read.
answer_body body_of(const routed_request& request, unsigned status);

/// Limit of a plain answer's size.
inline constexpr std::size_t max_plain_bytes = 16UL * 1024 * 1024;

/// The body of a plain answer, which is read completely before it is passed on,
/// so that a truncated one can be replaced.
struct plain_body {
  std::string text;
  memory_share share;
  /// False if there was no memory for the rest, which is still to be read.
  bool complete = false;
};

/// Appends a piece of an answer. Returns false if `share` can't hold what the
/// text has grown to.
bool append_held(std::string& text, std::string_view piece,
                 memory_share& share);

/// Reads the body of a plain answer. Fails if it exceeds its limit, and also if
/// there is no memory for it, it states no length, and its request may be
/// repeated: it may have no end.
transport::awaitable<result<plain_body>> read_plain_body(
    transport::http_call& call, std::shared_ptr<memory_budget> memory,
    bool may_repeat);

/// How a relayed stream ended. If neither member is set, it is complete and the
/// exchange still has to be finished.
struct relayed_stream {
  bool caller_disconnected = false;
  /// Why the call was interrupted.
  std::optional<error> interruption;
};

/// Sends `head`, then `first` and the rest of the stream piece by piece. Calls
/// `on_next` at each piece after the first. Cancels the call if the caller
/// disconnects, and aborts the exchange if the call is interrupted.
transport::awaitable<relayed_stream> relay_stream(
    answer_reader& body, transport::http_exchange& exchange,
    transport::http_response head, std::string first,
    const std::function<void()>& on_next);

}  // namespace trestlepost::gateway

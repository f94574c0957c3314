// How the answer to a routed request is passed on from where it was sent to.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// A plain answer is read whole before any of it is sent, so that one that is
/// cut short can still be replaced.
inline constexpr std::size_t largest_plain_answer = 16UL * 1024 * 1024;

/// The answer of `call` without its body.
transport::http_answer answer_head(const transport::http_call& call,
                                   const surface::endpoint_codec& codec);

/// How a stream that was passed on ended; with neither it came whole, and the
/// exchange is still to be finished.
struct passed_stream {
  bool caller_left = false;
  /// Why the call broke off.
  std::optional<error> broken;
};

/// Sends `head`, `first` and what follows it, piece by piece; `on_next` is
/// called at each piece after the first. When the caller leaves the call is
/// cancelled, and when the call breaks off the exchange is aborted.
transport::awaitable<passed_stream> pass_stream(
    transport::http_call& call, transport::http_exchange& exchange,
    transport::http_answer head, std::string first,
    const std::function<void()>& on_next);

}  // namespace trestlepost::gateway

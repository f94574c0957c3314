// Relays streamed answers piece by piece.
#include "answer_relay.h"

#include <utility>

namespace trestlepost::gateway {

using transport::awaitable;
using transport::http_call;
using transport::http_exchange;
using transport::http_response;

http_response answer_head(const http_call& call,
                          const surface::endpoint_codec& codec) {
  http_response out;
  out.status = call.status();
  out.content_type.clear();
  out.headers = codec.passthrough_headers(call);
  return out;
}

awaitable<relayed_stream> relay_stream(http_call& call, http_exchange& exchange,
                                       http_response head, std::string first,
                                       const std::function<void()>& on_next) {
  relayed_stream out;
  result<std::string> piece(std::move(first));
  bool open = co_await exchange.start_stream(std::move(head));
  while (open && !piece->empty()) {
    std::string text = std::move(*piece);
    if (!call.is_delimited()) out.events.push(text);
    open = co_await exchange.write_piece(std::move(text));
    if (!open) break;
    piece = co_await call.read_piece();
    // The call is cancelled when the caller disconnects, so a failed read is no
    // interruption in that case.
    open = !exchange.is_disconnected();
    if (!open) break;
    if (!piece) {
      exchange.abort();
      out.interruption = piece.error();
      co_return out;
    }
    if (!piece->empty()) on_next();
  }
  if (!open) {
    call.cancel();
    out.caller_disconnected = true;
  }
  co_return out;
}

}  // namespace trestlepost::gateway

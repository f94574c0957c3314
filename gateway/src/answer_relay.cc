// Relays streamed answers piece by piece.
#include "answer_relay.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace trestlepost::gateway {

namespace {

constexpr unsigned ok_status = 200;
// Part of an answer that the memory of its request includes.
constexpr std::size_t paid_answer_bytes = 16UL * 1024;

// Limit of a stream: this, and so much for each token. Events of one token may
// have ids, probabilities of alternatives and the like.
constexpr std::size_t base_stream_bytes = 256UL * 1024;
constexpr std::size_t max_bytes_per_token = 4UL * 1024;

/// Returns the stated length of the answer; 0 if there is none.
std::size_t content_length_of(const transport::http_call& call) {
  const std::string_view text = call.header("Content-Length");
  std::size_t out = 0;
  std::from_chars(text.data(), text.data() + text.size(), out);
  return out;
}

/// Returns whether `share` may hold so many bytes of an answer.
bool hold_answer(memory_share& share, std::size_t bytes) {
  if (bytes <= paid_answer_bytes) return true;
  return share.grow_to(bytes, memory_use::answer, boot_clock::now());
}

}  // namespace

using transport::awaitable;
using transport::http_call;
using transport::http_exchange;
using transport::http_response;

std::size_t max_stream_bytes(const routed_request& request) {
  const surface::prompt_outline& prompt = request.head.prompt;
  if (!prompt.known()) return max_stream_bytes_of_any;
  const std::size_t tokens = prompt.most_output_tokens;
  return std::min(base_stream_bytes + tokens * max_bytes_per_token,
                  max_stream_bytes_of_any);
}

bool append_held(std::string& text, std::string_view piece,
                 memory_share& share) {
  const std::size_t bytes = text.size() + piece.size();
  bool fits = true;
  if (bytes > text.capacity()) {
    const std::size_t grown = std::max(bytes, 2 * text.capacity());
    fits = hold_answer(share, grown);
    text.reserve(fits ? grown : bytes);
  }
  text += piece;
  return fits;
}

awaitable<result<plain_body>> read_plain_body(
    http_call& call, std::shared_ptr<memory_budget> memory, bool may_repeat) {
  plain_body out;
  out.share = memory_share(std::move(memory));
  const std::size_t length = content_length_of(call);
  const bool may_relay = length > 0 || !may_repeat;
  const bool is_known = length > 0 && length <= max_plain_bytes;
  const bool fits_whole = !is_known || hold_answer(out.share, length);
  if (is_known && fits_whole) out.text.reserve(length);
  while (true) {
    result<std::string> piece = co_await call.read_piece();
    if (!piece) co_return tl::make_unexpected(piece.error());
    if (!fits_whole) {
      out.text = std::move(*piece);
      co_return out;
    }
    const bool fits = append_held(out.text, *piece, out.share);
    if (piece->empty()) {
      out.complete = true;
      co_return out;
    }
    if (out.text.size() > max_plain_bytes || (!fits && !may_relay)) {
      call.cancel();
      co_return fail(error_kind::endpoint_failed,
                     "the answer is too large to be held: it exceeds " +
                         std::to_string(out.text.size()) + " bytes",
                     "request a smaller answer");
    }
    if (!fits) co_return out;
  }
}

http_response answer_head(const http_call& call,
                          const surface::endpoint_codec& codec) {
  http_response out;
  out.status = call.status();
  out.close_delimited = !call.is_delimited();
  out.content_type.clear();
  out.headers = codec.passthrough_headers(call);
  return out;
}

answer_body body_of(const routed_request& request, unsigned status) {
  const bool streamed = request.route->kind == config::route_kind::stream;
  if (!streamed || status != ok_status) return answer_body::opaque;
  return request.head.resume_after.empty() ? answer_body::events
                                           : answer_body::resumed_events;
}

awaitable<relayed_stream> relay_stream(answer_reader& body,
                                       http_exchange& exchange,
                                       http_response head, std::string first,
                                       const std::function<void()>& on_next) {
  relayed_stream out;
  result<std::string> piece(std::move(first));
  bool open = co_await exchange.start_stream(std::move(head));
  while (open && !piece->empty()) {
    std::string text = std::move(*piece);
    open = co_await exchange.write_piece(std::move(text));
    if (!open) break;
    piece = co_await body.read_piece();
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
    body.call().cancel();
    out.caller_disconnected = true;
  }
  co_return out;
}

}  // namespace trestlepost::gateway

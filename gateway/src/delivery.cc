// Sends answers and refusals to callers.
#include "trestlepost/gateway/delivery.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "answer_relay.h"
#include "trestlepost/gateway/retry_after.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::gateway {
namespace {

using transport::awaitable;
using transport::header_list;
using transport::http_call;
using transport::http_exchange;
using transport::http_response;

// Non-streamed answers up to this size are buffered completely before they are
// sent.
constexpr std::size_t max_buffered_bytes = 1024UL * 1024;
constexpr std::string_view event_stream = "text/event-stream";

http_response head_of(const http_call& call, header_list headers) {
  // Only `not_run` depends on the service's setting, and it is not used here.
  const own::endpoint_codec codec(false);
  http_response out = answer_head(call, codec);
  std::move(headers.begin(), headers.end(), std::back_inserter(out.headers));
  return out;
}

}  // namespace

bool is_connection_loss(const error& cause) {
  return cause.kind != error_kind::deadline;
}

bool is_connection_loss(const http_call& call, const error& cause) {
  return !call.is_cancelled() && is_connection_loss(cause);
}

bool is_gateway_failure(const attempt& it) {
  const bool unsent = !it.delivered && it.sends == 0 && it.ran == run_state::no;
  if (it.gateway.empty() || !unsent) return false;
  switch (it.cause.kind) {
    case error_kind::isolated:
    case error_kind::draining:
    case error_kind::deadline:
    case error_kind::endpoint_failed:
    case error_kind::configuration_behind:
      return true;
    default:
      return false;
  }
}

attempt failed_attempt(run_state ran, error cause,
                       std::chrono::milliseconds retry_after) {
  attempt out;
  out.ran = ran;
  out.cause = std::move(cause);
  out.retry_after = retry_after;
  return out;
}

attempt unread_attempt(error cause) {
  std::chrono::milliseconds retry_after{0};
  if (cause.kind == error_kind::overloaded) retry_after = retry_after_no_memory;
  if (cause.kind == error_kind::draining) retry_after = retry_after_wrong_node;
  return failed_attempt(run_state::no, std::move(cause), retry_after);
}

header_list answer_headers(const std::string& region, run_state ran,
                           const std::string& request_id) {
  return {{"Trestlepost-Region", region},
          {"Trestlepost-Ran", std::string(to_string(ran))},
          {"X-Request-Id", request_id}};
}

awaitable<delivery_result> deliver(http_call& call, http_exchange& exchange,
                                   header_list headers,
                                   std::shared_ptr<memory_budget> memory,
                                   std::function<void()> on_first) {
  delivery_result out;
  out.outcome.ran = run_state::unknown;
  http_response answer = head_of(call, std::move(headers));
  const std::string content_type(call.header("Content-Type"));
  const bool streamed = content_type.starts_with(event_stream);
  answer_reader body(call, streamed ? answer_body::events : answer_body::opaque,
                     max_stream_bytes_of_any);
  std::string buffered;
  memory_share share(std::move(memory));
  bool first = true;
  while (true) {
    result<std::string> piece = co_await body.read_piece();
    if (!piece) {
      out.outcome.cause = piece.error();
      out.outcome.connection_lost = is_connection_loss(call, piece.error());
      co_return out;
    }
    if (first) on_first();
    first = false;
    const bool ended = piece->empty();
    const bool fits = append_held(buffered, *piece, share);
    if (ended) break;
    if (streamed || !fits || buffered.size() > max_buffered_bytes) {
      out.outcome.delivered = true;
      const std::function<void()> on_next = [] {};
      const relayed_stream relayed = co_await relay_stream(
          body, exchange, std::move(answer), std::move(buffered), on_next);
      out.outcome.connection_lost =
          relayed.interruption &&
          is_connection_loss(call, *relayed.interruption);
      if (relayed.interruption) out.outcome.cause = *relayed.interruption;
      const bool complete =
          !relayed.caller_disconnected && !relayed.interruption;
      if (!complete) co_return out;
      if (call.is_delimited()) out.outcome.ran = run_state::yes;
      co_await exchange.finish_stream();
      co_return out;
    }
  }
  out.outcome.delivered = true;
  if (call.is_delimited()) out.outcome.ran = run_state::yes;
  out.answer.status = answer.status;
  out.answer.content_type = content_type;
  out.answer.complete =
      call.is_delimited() && buffered.size() <= ledger::max_stored_answer_bytes;
  if (out.answer.complete) out.answer.body = buffered;
  answer.body = std::move(buffered);
  co_await exchange.respond(std::move(answer));
  co_return out;
}

awaitable<void> refuse(http_exchange& exchange, const attempt& outcome,
                       const std::string& request_id) {
  if (exchange.has_response_started() || exchange.is_disconnected()) co_return;
  const surface::refusal why{outcome.cause, outcome.ran, outcome.retry_after,
                             request_id};
  http_response answer = own::caller_codec().refuse(why);
  co_await exchange.respond(std::move(answer));
}

}  // namespace trestlepost::gateway

#include "trestlepost/gateway/delivery.h"

#include <utility>

#include "answer_passing.h"

namespace trestlepost::gateway {
namespace {

using transport::awaitable;
using transport::header_list;
using transport::http_answer;
using transport::http_call;
using transport::http_exchange;

// Plain answers up to this size are read whole before they are sent.
constexpr std::size_t buffered_answer = 1024UL * 1024;
constexpr std::string_view event_stream = "text/event-stream";

http_answer head_of(http_call& call, header_list headers) {
  http_answer out;
  out.status = call.status();
  out.content_type = std::string(call.header("Content-Type"));
  out.headers = std::move(headers);
  return out;
}

}  // namespace

attempt failed_attempt(run_state ran, error cause,
                       std::chrono::milliseconds retry_after) {
  attempt out;
  out.ran = ran;
  out.cause = std::move(cause);
  out.retry_after = retry_after;
  return out;
}

std::chrono::seconds whole_seconds(std::chrono::milliseconds n) {
  return std::chrono::ceil<std::chrono::seconds>(n);
}

unsigned status_of(error_kind kind) {
  switch (kind) {
    case error_kind::bad_input:
      return 400;
    case error_kind::unauthorized:
      return 401;
    case error_kind::label_not_allowed:
    case error_kind::no_matching_rule:
    case error_kind::not_permitted:
      return 403;
    case error_kind::unknown_service:
    case error_kind::not_found:
      return 404;
    case error_kind::conflict:
    case error_kind::in_progress:
    case error_kind::outcome_unknown:
      return 409;
    case error_kind::key_expired:
      return 410;
    case error_kind::too_large:
      return 413;
    case error_kind::transit_refused:
      return 421;
    case error_kind::mismatch:
      return 422;
    case error_kind::overloaded:
      return 429;
    case error_kind::endpoint_failed:
      return 502;
    case error_kind::deadline:
      return 504;
    case error_kind::internal:
      return 500;
    default:
      return 503;
  }
}

header_list answer_headers(const std::string& region, run_state ran,
                           const std::string& request_id) {
  return {{"Trestlepost-Region", region},
          {"Trestlepost-Ran", std::string(to_string(ran))},
          {"X-Request-Id", request_id}};
}

awaitable<delivery_result> deliver(http_call& call, http_exchange& exchange,
                                   header_list headers,
                                   std::function<void()> on_first) {
  delivery_result out;
  out.outcome.ran = run_state::unknown;
  http_answer answer = head_of(call, std::move(headers));
  const bool streamed = answer.content_type.starts_with(event_stream);
  std::string buffered;
  bool first = true;
  while (true) {
    result<std::string> piece = co_await call.read_piece();
    if (!piece) {
      out.outcome.cause = piece.error();
      co_return out;
    }
    if (first) on_first();
    first = false;
    const bool ended = piece->empty();
    buffered += *piece;
    if (ended) break;
    if (streamed || buffered.size() > buffered_answer) {
      out.outcome.delivered = true;
      out.outcome.ran = run_state::yes;
      const std::function<void()> on_next = [] {};
      const passed_stream passed = co_await pass_stream(
          call, exchange, std::move(answer), std::move(buffered), on_next);
      const bool whole = !passed.caller_left && !passed.broken;
      if (whole) co_await exchange.finish_stream();
      co_return out;
    }
  }
  out.outcome.delivered = true;
  out.outcome.ran = run_state::yes;
  out.answer.status = answer.status;
  out.answer.content_type = answer.content_type;
  out.answer.complete = buffered.size() <= ledger::largest_kept_answer;
  if (out.answer.complete) out.answer.body = buffered;
  answer.body = std::move(buffered);
  co_await exchange.respond(std::move(answer));
  co_return out;
}

awaitable<void> refuse(http_exchange& exchange, const attempt& outcome,
                       const std::string& request_id) {
  if (exchange.answered() || exchange.gone()) co_return;
  http_answer answer = transport::problem_answer(
      status_of(outcome.cause.kind), outcome.cause, to_string(outcome.ran),
      whole_seconds(outcome.retry_after));
  answer.headers.emplace_back("X-Request-Id", request_id);
  co_await exchange.respond(std::move(answer));
}

}  // namespace trestlepost::gateway

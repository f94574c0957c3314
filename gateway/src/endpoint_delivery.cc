// Delivers the answer of an endpoint to the caller.
#include <utility>

#include "active_run.h"
#include "answer_relay.h"
#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using transport::awaitable;
using transport::http_response;

// HTTP status codes.
constexpr unsigned first_error = 300;
constexpr unsigned first_server_error = 500;

/// Returns the result of an interrupted run that may be repeated from the
/// start.
attempt interrupted_run(const transport::http_call& call, const error& cause) {
  attempt out = failed_attempt(run_state::unknown, cause, refused_retry_after);
  out.connection_lost = is_connection_loss(call, cause);
  return out;
}

}  // namespace

awaitable<attempt> endpoint_runner::deliver(active_run& current) {
  const bool streamed =
      body_of(current.request, current.call->status()) != answer_body::opaque;
  attempt out;
  if (streamed && current.request.route->resumable) {
    out = co_await deliver_events(current);
  } else if (streamed) {
    out = co_await deliver_stream(current);
  } else if (current.events.continued()) {
    out = continuation_rejected(current);
  } else {
    out = co_await deliver_buffered(current);
  }
  out.sends = 1;
  co_return out;
}

void endpoint_runner::record_begin(active_run& current) {
  const bool first = !std::exchange(current.began, true);
  if (first) crashes_.run_began(current.request);
}

awaitable<attempt> endpoint_runner::deliver_buffered(active_run& current) {
  result<plain_body> body = co_await read_plain_body(
      *current.call, context_.memory, current.request.route->may_repeat());
  if (body && !body->complete) {
    // The caller can detect a truncation, but the request can't be repeated.
    answer_reader reader(*current.call, answer_body::opaque, max_plain_bytes);
    log_event(log_level::warn, "answer-not-held",
              {{"request_id", current.request.head.request_id},
               {"bytes", std::to_string(body->text.size())}});
    co_return co_await relay(current, reader, std::move(body->text));
  }
  if (!body) {
    record_failure(current, body.error());
    co_return interrupted_run(*current.call, body.error());
  }
  context_.endpoints.request_succeeded(current.endpoint.name);
  log_undelimited_end(current);
  http_response answer = answer_head(*current.call, *surfaces_.endpoints);
  answer.body = std::move(body->text);
  answer.share = std::make_shared<const memory_share>(std::move(body->share));
  attempt out;
  if (answer.status >= first_server_error &&
      current.request.route->may_repeat()) {
    out = failed_attempt(
        run_state::unknown,
        {error_kind::endpoint_failed,
         "the endpoint answered with status " + std::to_string(answer.status),
         "send it again"},
        refused_retry_after);
    out.endpoint_answer = std::move(answer);
    co_return out;
  }
  if (answer.status < first_error) record_begin(current);
  pool_.engines().record_event(current.ticket, context_.clock.now());
  context_.metrics.first_piece(
      current.request.service,
      context_.clock.now() - current.request.times.arrived);
  out.delivered = true;
  out.ran = run_state::yes;
  co_await current.exchange.respond(std::move(answer));
  co_return out;
}

awaitable<attempt> endpoint_runner::deliver_stream(active_run& current) {
  answer_reader reader(*current.call,
                       body_of(current.request, current.call->status()),
                       max_stream_bytes(current.request));
  result<std::string> piece = co_await reader.read_piece();
  if (!piece) {
    record_failure(current, piece.error());
    co_return interrupted_run(*current.call, piece.error());
  }
  co_return co_await relay(current, reader, std::move(*piece));
}

awaitable<attempt> endpoint_runner::relay(active_run& current,
                                          answer_reader& reader,
                                          std::string first) {
  const monotonic_time at = context_.clock.now();
  pool_.engines().record_event(current.ticket, at);
  const bool plain = reader.body() == answer_body::opaque;
  if (reader.has_event() || (plain && current.call->status() < first_error))
    record_begin(current);
  context_.metrics.first_piece(current.request.service,
                               at - current.request.times.arrived);
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  http_response head = answer_head(*current.call, *surfaces_.endpoints);
  const std::function<void()> on_next = [this, &current, &reader] {
    pool_.engines().record_event(current.ticket, context_.clock.now());
    if (reader.has_event()) record_begin(current);
  };
  const relayed_stream relayed = co_await relay_stream(
      reader, current.exchange, std::move(head), std::move(first), on_next);
  if (relayed.caller_disconnected) {
    out.cause = {error_kind::bad_input, "the caller disconnected", ""};
    co_return out;
  }
  if (relayed.interruption) {
    record_failure(current, *relayed.interruption);
    out.cause = *relayed.interruption;
    out.connection_lost = is_connection_loss(*current.call, out.cause);
    co_return out;
  }
  log_undelimited_end(current);
  context_.endpoints.request_succeeded(current.endpoint.name);
  co_await current.exchange.finish_stream();
  co_return out;
}

void endpoint_runner::log_undelimited_end(const active_run& current) const {
  if (current.call->is_delimited()) return;
  log_event(log_level::info, "undelimited-answer-ended",
            {{"request_id", current.request.head.request_id},
             {"endpoint", current.endpoint.name}});
}

attempt endpoint_runner::continuation_rejected(active_run& current) {
  const unsigned status = current.call->status();
  current.call->cancel();
  return failed_attempt(
      run_state::unknown,
      {error_kind::endpoint_failed,
       "the endpoint answered the continuation of a stream with status " +
           std::to_string(status),
       "check the endpoint " + current.endpoint.name});
}

awaitable<attempt> endpoint_runner::deliver_events(active_run& current) {
  // A continuation without any event is recognized by the scanner.
  const answer_body body =
      current.events.continued()
          ? answer_body::resumed_events
          : body_of(current.request, current.call->status());
  answer_reader reader(*current.call, body, max_stream_bytes(current.request));
  bool ended = false;
  while (!ended) {
    result<std::string> piece = co_await reader.read_piece();
    if (!piece) co_return handle_interruption(current, piece.error());
    ended = piece->empty();
    // The caller was promised a declared end, and this continuation has none.
    const bool misses_end = current.exchange.is_response_delimited() ||
                            current.events.is_incomplete();
    if (ended && misses_end && !current.call->is_delimited()) {
      const error cause{error_kind::endpoint_failed,
                        "the connection closed before the stream was complete",
                        "check the endpoint " + current.endpoint.name};
      co_return handle_interruption(current, cause);
    }
    if (!ended)
      pool_.engines().record_event(current.ticket, context_.clock.now());
    if (reader.has_event()) record_begin(current);
    scan_result found = ended ? current.events.finish()
                              : current.events.push(std::move(*piece));
    const stream_fault fault = found.fault;
    const bool open =
        co_await relay_events(current, std::move(found.output), ended);
    if (!open) co_return caller_disconnected(current);
    if (fault == stream_fault::none) continue;
    if (current.events.continued())
      co_return continuation_invalid(current, fault);
    log_event(log_level::info, "stream-not-resumable",
              {{"request_id", current.request.head.request_id},
               {"endpoint", current.endpoint.name},
               {"cause", std::string(to_string(fault))}});
  }
  log_undelimited_end(current);
  context_.endpoints.request_succeeded(current.endpoint.name);
  co_await current.exchange.finish_stream();
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  co_return out;
}

awaitable<bool> endpoint_runner::relay_events(active_run& current,
                                              std::string text, bool ended) {
  // The response starts with the first event. Until then, the request can be
  // sent to another endpoint from the start.
  const bool begins = !current.exchange.has_response_started();
  if (begins && text.empty() && !ended)
    co_return !current.exchange.is_disconnected();
  if (begins) {
    context_.metrics.first_piece(
        current.request.service,
        context_.clock.now() - current.request.times.arrived);
    http_response head = answer_head(*current.call, *surfaces_.endpoints);
    const bool open = co_await current.exchange.start_stream(std::move(head));
    if (!open) co_return false;
  }
  co_return co_await current.exchange.write_piece(std::move(text));
}

attempt endpoint_runner::handle_interruption(active_run& current,
                                             const error& cause) {
  if (current.exchange.is_disconnected()) return caller_disconnected(current);
  // Before the call is cancelled, which is no loss of its connection.
  attempt from_start = interrupted_run(*current.call, cause);
  current.call->cancel();
  record_failure(current, cause);
  if (!current.exchange.has_response_started()) return from_start;
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = cause;
  out.connection_lost = from_start.connection_lost;
  out.stream_interrupted = true;
  return out;
}

attempt endpoint_runner::continuation_invalid(active_run& current,
                                              stream_fault fault) {
  current.call->cancel();
  current.exchange.abort();
  context_.endpoints.request_failed(current.endpoint.name,
                                    context_.clock.now());
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = {error_kind::endpoint_failed, std::string(to_string(fault)),
               "check the endpoint " + current.endpoint.name};
  return out;
}

attempt endpoint_runner::caller_disconnected(active_run& current) {
  current.call->cancel();
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = {error_kind::bad_input, "the caller disconnected", ""};
  return out;
}

}  // namespace trestlepost::gateway

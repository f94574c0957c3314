// Sends a request to one endpoint and delivers its answer.
#include "trestlepost/gateway/endpoint_runner.h"

#include <algorithm>
#include <utility>

#include "answer_relay.h"
#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_response;

// Answers to earlier requests that are skipped on a connection before it is
// abandoned.
constexpr int max_stale_answers = 2;
// Retry-After of a request that was rejected without running.
constexpr milliseconds refused_retry_after{200};
// An endpoint is considered hung if it sends nothing for this multiple of the
// expected time and for the route's latency objective.
constexpr int silence_factor = 3;
// HTTP status code.
constexpr unsigned first_server_error = 500;

using send_result = tl::expected<void, transport::call_failure>;

milliseconds max_silence(const routed_request& request,
                         const routing::completion_estimate& expected) {
  return std::max(request.route->latency_objective,
                  silence_factor * expected.first_token);
}

/// Returns whether `failure` is no sign that the endpoint is merely slow.
bool may_be_unreachable(const transport::call_failure& failure) {
  return !failure.bytes_written || is_connection_loss(failure.cause);
}

/// Returns the result of an interrupted run that may be repeated from the
/// start.
attempt interrupted_run(const error& cause) {
  attempt out = failed_attempt(run_state::unknown, cause, refused_retry_after);
  out.connection_lost = is_connection_loss(cause);
  return out;
}

}  // namespace

/// The state of one attempt.
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
};

awaitable<attempt> endpoint_runner::run(routed_request& request,
                                        const chosen_endpoint& endpoint,
                                        bool may_abandon, event_scanner& events,
                                        transport::http_exchange& exchange) {
  active_run current{request, endpoint, events, exchange,
                     context_.client.call(endpoint.address)};
  current.started = context_.clock.now();
  current.answer_by = request.deadline;
  const milliseconds silence = max_silence(request, endpoint.expected);
  if (may_abandon) {
    current.answer_by = std::min(request.deadline, current.started + silence);
  }
  context_.endpoints.request_started(endpoint.name);
  pool_.record_sent(endpoint.name);
  current.ticket = pool_.engines().begin_request(
      endpoint.name, request.work, endpoint.prefill_tokens, current.started);
  std::function<void()> on_disconnect = [call = current.call] {
    call->cancel();
  };
  exchange.on_disconnect(std::move(on_disconnect));
  attempt out;
  const unanswered_requests::key waiting = unanswered_.begin(
      endpoint.name, current.started, current.started + silence);
  const send_result sent = co_await send(current);
  unanswered_.end(waiting, sent.has_value(), context_.clock.now());
  pool_.record_outcome(endpoint.name, sent && current.answer.not_run);
  if (sent) {
    std::optional<attempt> refused = read_head(current);
    if (refused) {
      current.call->cancel();
      out = std::move(*refused);
    } else {
      out = co_await deliver(current);
    }
  } else {
    out = send_failed(current, sent.error());
  }
  const bool reached = out.sends > 0;
  const bool first = request.sends.count() == 0;
  if (reached) context_.metrics.sent(request.service, first);
  const bool interrupted = out.connection_lost && !exchange.is_disconnected();
  if (interrupted) {
    crashes_.run_interrupted(
        request.fingerprint(context_.peer_secret),
        {endpoint.name, endpoint.address, request.service});
  }
  const bool completed = (out.delivered && out.cause.message.empty()) ||
                         out.endpoint_answer.has_value();
  if (completed && crashes_.monitors_any()) {
    crashes_.run_completed(request.fingerprint(context_.peer_secret));
  }
  if (out.delivered && !events.continued()) {
    context_.metrics.served_in(request.service, context_.self.region);
  }
  exchange.on_disconnect(nullptr);
  pool_.engines().end_request(current.ticket, context_.clock.now());
  context_.endpoints.request_ended(endpoint.name);
  out.endpoint = endpoint.name;
  co_return out;
}

awaitable<send_result> endpoint_runner::send(active_run& current) {
  const milliseconds remaining = std::chrono::duration_cast<milliseconds>(
      current.request.deadline - current.started);
  const std::string& resume_after = current.events.continued()
                                        ? current.events.resume_point()
                                        : current.request.head.resume_after;
  const std::string_view id = surface::id_in_name(current.endpoint.name);
  const surface::endpoint_attempt in{current.request.head,
                                     current.request.body,
                                     std::string(id),
                                     std::max(remaining, milliseconds(1)),
                                     current.request.work.priority,
                                     resume_after,
                                     current.endpoint.copy_cache_from};
  transport::http_request out = surfaces_.endpoints->encode(in);
  send_result sent =
      co_await current.call->send(std::move(out), current.answer_by);
  if (!sent) co_return sent;
  current.call->set_deadline(current.request.deadline);
  co_return co_await skip_stale_answers(current);
}

awaitable<send_result> endpoint_runner::skip_stale_answers(
    active_run& current) {
  send_result sent;
  for (int n = 0; sent; ++n) {
    current.answer = surfaces_.endpoints->read_head(*current.call);
    const std::string& id = current.answer.request_id;
    const bool is_current = id.empty() || id == current.request.head.request_id;
    if (is_current) break;
    log_event(log_level::warn, "surplus-answer",
              {{"request_id", current.request.head.request_id},
               {"endpoint", current.endpoint.name},
               {"answered_id", id}});
    if (n == max_stale_answers) {
      current.call->cancel();
      transport::call_failure wrong_answer;
      wrong_answer.cause = {error_kind::endpoint_failed,
                            "the endpoint sent only answers to other requests",
                            "check the endpoint " + current.endpoint.name};
      wrong_answer.bytes_written = true;
      co_return tl::make_unexpected(std::move(wrong_answer));
    }
    sent = co_await current.call->read_next_response();
  }
  co_return sent;
}

attempt endpoint_runner::send_failed(const active_run& current,
                                     const transport::call_failure& failure) {
  const monotonic_time at = context_.clock.now();
  // If the request's own deadline passed, the endpoint may merely be slow.
  const bool late = failure.cause.kind == error_kind::deadline &&
                    current.answer_by == current.request.deadline;
  if (!current.exchange.is_disconnected() && may_be_unreachable(failure)) {
    context_.endpoints.endpoint_unreached(current.endpoint.name, at);
  }
  if (failure.refused) {
    context_.endpoints.connection_refused(current.endpoint.name, at);
  } else if (!current.exchange.is_disconnected() &&
             !(late && failure.bytes_written)) {
    context_.endpoints.request_failed(current.endpoint.name, at);
  }
  attempt out =
      failed_attempt(failure.bytes_written ? run_state::unknown : run_state::no,
                     failure.cause, refused_retry_after);
  out.sends = failure.bytes_written ? 1 : 0;
  out.connection_lost =
      failure.bytes_written && is_connection_loss(failure.cause);
  if (!current.exchange.is_disconnected()) {
    log_event(log_level::warn, "endpoint-failed",
              {{"request_id", current.request.head.request_id},
               {"endpoint", current.endpoint.name},
               {"sent", failure.bytes_written ? "yes" : "no"},
               {"detail", failure.cause.message}});
  }
  return out;
}

std::optional<attempt> endpoint_runner::read_head(active_run& current) {
  context_.endpoints.endpoint_reached(current.endpoint.name,
                                      context_.clock.now());
  pool_.record_answer(current.endpoint.name, current.answer);
  if (!current.answer.not_run && !current.answer.other_endpoint) {
    pool_.record_accepted(current.endpoint.name);
    return std::nullopt;
  }
  if (current.answer.other_endpoint) {
    pool_.remove_endpoint(current.endpoint.name);
  } else {
    pool_.record_rejected(current.endpoint.name);
  }
  attempt out = failed_attempt(
      run_state::no,
      {current.answer.other_endpoint ? error_kind::unavailable
                                     : error_kind::overloaded,
       "the endpoint rejected the request", "send it again after Retry-After"},
      refused_retry_after);
  out.sends = 1;
  log_event(log_level::info, "endpoint-refused",
            {{"request_id", current.request.head.request_id},
             {"endpoint", current.endpoint.name},
             {"status", std::to_string(current.call->status())}});
  return out;
}

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

awaitable<attempt> endpoint_runner::deliver_buffered(active_run& current) {
  result<std::string> body =
      co_await current.call->read_rest(max_plain_answer_bytes);
  if (!body) {
    if (!current.exchange.is_disconnected()) {
      context_.endpoints.request_failed(current.endpoint.name,
                                        context_.clock.now());
    }
    co_return interrupted_run(body.error());
  }
  context_.endpoints.request_succeeded(current.endpoint.name);
  log_undelimited_end(current);
  http_response answer = answer_head(*current.call, *surfaces_.endpoints);
  answer.body = std::move(*body);
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
  pool_.engines().record_event(current.ticket, context_.clock.now());
  context_.metrics.first_piece(current.request.service,
                               context_.clock.now() - current.request.arrived);
  out.delivered = true;
  out.ran = run_state::yes;
  co_await current.exchange.respond(std::move(answer));
  co_return out;
}

awaitable<attempt> endpoint_runner::deliver_stream(active_run& current) {
  answer_reader reader(*current.call,
                       body_of(current.request, current.call->status()));
  result<std::string> piece = co_await reader.read_piece();
  if (!piece) {
    if (!current.exchange.is_disconnected()) {
      context_.endpoints.request_failed(current.endpoint.name,
                                        context_.clock.now());
    }
    co_return interrupted_run(piece.error());
  }
  const monotonic_time at = context_.clock.now();
  pool_.engines().record_event(current.ticket, at);
  context_.metrics.first_piece(current.request.service,
                               at - current.request.arrived);
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  http_response head = answer_head(*current.call, *surfaces_.endpoints);
  const std::function<void()> on_next = [this, &current] {
    pool_.engines().record_event(current.ticket, context_.clock.now());
  };
  std::string first = std::move(*piece);
  const relayed_stream relayed = co_await relay_stream(
      reader, current.exchange, std::move(head), std::move(first), on_next);
  if (relayed.caller_disconnected) {
    out.cause = {error_kind::bad_input, "the caller disconnected", ""};
    co_return out;
  }
  if (relayed.interruption) {
    context_.endpoints.request_failed(current.endpoint.name,
                                      context_.clock.now());
    out.cause = *relayed.interruption;
    out.connection_lost = is_connection_loss(out.cause);
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
  answer_reader reader(*current.call, body);
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
        context_.clock.now() - current.request.arrived);
    http_response head = answer_head(*current.call, *surfaces_.endpoints);
    const bool open = co_await current.exchange.start_stream(std::move(head));
    if (!open) co_return false;
  }
  co_return co_await current.exchange.write_piece(std::move(text));
}

attempt endpoint_runner::handle_interruption(active_run& current,
                                             const error& cause) {
  if (current.exchange.is_disconnected()) return caller_disconnected(current);
  current.call->cancel();
  context_.endpoints.request_failed(current.endpoint.name,
                                    context_.clock.now());
  if (!current.exchange.has_response_started()) {
    return interrupted_run(cause);
  }
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = cause;
  out.connection_lost = is_connection_loss(cause);
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

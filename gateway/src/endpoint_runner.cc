#include "trestlepost/gateway/endpoint_runner.h"

#include <algorithm>
#include <utility>

#include "answer_relay.h"
#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_answer;

// Answers to earlier requests that are skipped on a connection before it is
// abandoned.
constexpr int most_surplus_answers = 2;
// Retry-After of a request that was rejected without running.
constexpr milliseconds refused_retry_after{200};
// An endpoint is considered hung if it sends nothing for this multiple of the
// expected time and for the route's latency objective.
constexpr int silent_times = 3;
// HTTP status codes.
constexpr unsigned ok_status = 200;
constexpr unsigned first_server_error = 500;

using send_result = tl::expected<void, transport::call_failure>;

milliseconds longest_silence(const routed_request& request,
                             const routing::outlook& expected) {
  return std::max(request.route->latency_objective,
                  silent_times * expected.first_token);
}

/// Returns the result of an interrupted run that may be repeated from the
/// start.
attempt broken_run(const error& cause) {
  attempt out = failed_attempt(run_state::unknown, cause, refused_retry_after);
  out.connection_lost = is_broken(cause);
  return out;
}

/// Returns whether the end of the answer can be distinguished from a closed
/// connection.
bool has_told_end(const transport::http_call& call) {
  return !call.header("Transfer-Encoding").empty() ||
         !call.header("Content-Length").empty();
}

}  // namespace

/// The state of one attempt.
struct endpoint_runner::running {
  const routed_request& request;
  const chosen_endpoint& endpoint;
  event_scanner& events;
  transport::http_exchange& exchange;
  std::shared_ptr<transport::http_call> call;
  routing::engine_book::ticket ticket = 0;
  monotonic_time started{};
  /// Deadline for the head of the answer.
  monotonic_time answer_by{};
  surface::endpoint_answer answer{};
};

awaitable<attempt> endpoint_runner::run(routed_request& request,
                                        const chosen_endpoint& endpoint,
                                        bool may_give_up, event_scanner& events,
                                        transport::http_exchange& exchange) {
  running now{request, endpoint, events, exchange,
              context_.client.call(endpoint.address)};
  now.started = context_.clock.now();
  now.answer_by = request.deadline;
  if (may_give_up) {
    const milliseconds silence = longest_silence(request, endpoint.expected);
    now.answer_by = std::min(request.deadline, now.started + silence);
  }
  context_.endpoints.request_started(endpoint.name);
  pool_.note_sent(endpoint.name);
  now.ticket = pool_.engines().begin(endpoint.name, request.work,
                                     endpoint.read_tokens, now.started);
  std::function<void()> on_gone = [call = now.call] { call->cancel(); };
  exchange.on_gone(std::move(on_gone));
  attempt out;
  const send_result sent = co_await send(now);
  if (sent) {
    std::optional<attempt> refused = read_head(now);
    if (refused) {
      now.call->cancel();
      out = std::move(*refused);
    } else {
      out = co_await deliver(now);
    }
  } else {
    out = send_failed(now, sent.error());
  }
  const bool reached = out.sends > 0;
  const bool first = request.sends.count() == 0;
  if (reached) context_.metrics.sent(request.service, first);
  const bool broke = out.connection_lost && !exchange.gone();
  if (broke) {
    crashes_.run_interrupted(
        request.fingerprint(context_.peer_secret),
        {endpoint.name, endpoint.address, request.service});
  }
  const bool ended_well = (out.delivered && out.cause.message.empty()) ||
                          out.endpoint_answer.has_value();
  if (ended_well && crashes_.monitors_any()) {
    crashes_.run_completed(request.fingerprint(context_.peer_secret));
  }
  if (out.delivered && !events.continued()) {
    context_.metrics.served_in(request.service, context_.self.region);
  }
  exchange.on_gone(nullptr);
  pool_.engines().end(now.ticket, context_.clock.now());
  context_.endpoints.request_ended(endpoint.name);
  out.endpoint = endpoint.name;
  co_return out;
}

awaitable<send_result> endpoint_runner::send(running& now) {
  const milliseconds remaining = std::chrono::duration_cast<milliseconds>(
      now.request.deadline - now.started);
  const std::string& resume_after = now.events.continued()
                                        ? now.events.resume_point()
                                        : now.request.head.resume_after;
  const std::string_view id = surface::id_in_name(now.endpoint.name);
  const surface::endpoint_attempt in{now.request.head,
                                     now.request.body,
                                     std::string(id),
                                     std::max(remaining, milliseconds(1)),
                                     now.request.route->priority,
                                     resume_after,
                                     now.endpoint.copy_cache_from};
  transport::http_request out = surfaces_.endpoints->encode(in);
  send_result sent = co_await now.call->send(std::move(out), now.answer_by);
  if (!sent) co_return sent;
  now.call->set_deadline(now.request.deadline);
  co_return co_await find_own_answer(now);
}

awaitable<send_result> endpoint_runner::find_own_answer(running& now) {
  send_result sent;
  for (int n = 0; sent; ++n) {
    now.answer = surfaces_.endpoints->read_head(*now.call);
    const std::string& id = now.answer.request_id;
    const bool own = id.empty() || id == now.request.head.request_id;
    if (own) break;
    log_event(log_level::warn, "surplus-answer",
              {{"request_id", now.request.head.request_id},
               {"endpoint", now.endpoint.name},
               {"answered_id", id}});
    if (n == most_surplus_answers) {
      now.call->cancel();
      transport::call_failure crossed;
      crossed.cause = {error_kind::endpoint_failed,
                       "the endpoint sent only answers to other requests",
                       "check the endpoint " + now.endpoint.name};
      crossed.bytes_written = true;
      co_return tl::make_unexpected(std::move(crossed));
    }
    sent = co_await now.call->next_answer();
  }
  co_return sent;
}

attempt endpoint_runner::send_failed(const running& now,
                                     const transport::call_failure& failure) {
  const monotonic_time at = context_.clock.now();
  // If the request's own deadline passed, the endpoint may merely be slow.
  const bool late = failure.cause.kind == error_kind::deadline &&
                    now.answer_by == now.request.deadline;
  if (failure.refused) {
    context_.endpoints.connection_refused(now.endpoint.name, at);
  } else if (!now.exchange.gone() && !(late && failure.bytes_written)) {
    context_.endpoints.request_failed(now.endpoint.name, at);
  }
  attempt out =
      failed_attempt(failure.bytes_written ? run_state::unknown : run_state::no,
                     failure.cause, refused_retry_after);
  out.sends = failure.bytes_written ? 1 : 0;
  out.connection_lost = failure.bytes_written && is_broken(failure.cause);
  if (!now.exchange.gone()) {
    log_event(log_level::warn, "endpoint-failed",
              {{"request_id", now.request.head.request_id},
               {"endpoint", now.endpoint.name},
               {"sent", failure.bytes_written ? "yes" : "no"},
               {"detail", failure.cause.message}});
  }
  return out;
}

std::optional<attempt> endpoint_runner::read_head(running& now) {
  pool_.observe(now.endpoint.name, now.answer);
  if (!now.answer.not_run && !now.answer.other_endpoint) {
    pool_.note_taken(now.endpoint.name);
    return std::nullopt;
  }
  if (now.answer.other_endpoint) {
    pool_.vanished(now.endpoint.name);
  } else {
    pool_.note_rejected(now.endpoint.name);
  }
  attempt out = failed_attempt(
      run_state::no,
      {now.answer.other_endpoint ? error_kind::unavailable
                                 : error_kind::overloaded,
       "the endpoint rejected the request", "send it again after Retry-After"},
      refused_retry_after);
  out.sends = 1;
  log_event(log_level::info, "endpoint-refused",
            {{"request_id", now.request.head.request_id},
             {"endpoint", now.endpoint.name},
             {"status", std::to_string(now.call->status())}});
  return out;
}

awaitable<attempt> endpoint_runner::deliver(running& now) {
  const bool streamed = now.request.route->kind == config::route_kind::stream &&
                        now.call->status() == ok_status;
  attempt out;
  if (streamed && now.request.route->resumable) {
    out = co_await deliver_events(now);
  } else if (streamed) {
    out = co_await deliver_stream(now);
  } else if (now.events.continued()) {
    out = no_continuation(now);
  } else {
    out = co_await deliver_whole(now);
  }
  out.sends = 1;
  co_return out;
}

awaitable<attempt> endpoint_runner::deliver_whole(running& now) {
  result<std::string> body = co_await now.call->read_rest(largest_plain_answer);
  if (!body) {
    if (!now.exchange.gone()) {
      context_.endpoints.request_failed(now.endpoint.name,
                                        context_.clock.now());
    }
    co_return broken_run(body.error());
  }
  context_.endpoints.request_succeeded(now.endpoint.name);
  http_answer answer = answer_head(*now.call, *surfaces_.endpoints);
  answer.body = std::move(*body);
  attempt out;
  if (answer.status >= first_server_error && now.request.route->may_repeat()) {
    out = failed_attempt(
        run_state::unknown,
        {error_kind::endpoint_failed,
         "the endpoint answered with status " + std::to_string(answer.status),
         "send it again"},
        refused_retry_after);
    out.endpoint_answer = std::move(answer);
    co_return out;
  }
  pool_.engines().event(now.ticket, context_.clock.now());
  context_.metrics.first_piece(now.request.service,
                               context_.clock.now() - now.request.arrived);
  out.delivered = true;
  out.ran = run_state::yes;
  co_await now.exchange.respond(std::move(answer));
  co_return out;
}

awaitable<attempt> endpoint_runner::deliver_stream(running& now) {
  result<std::string> piece = co_await now.call->read_piece();
  if (!piece) {
    if (!now.exchange.gone()) {
      context_.endpoints.request_failed(now.endpoint.name,
                                        context_.clock.now());
    }
    co_return broken_run(piece.error());
  }
  const monotonic_time at = context_.clock.now();
  pool_.engines().event(now.ticket, at);
  context_.metrics.first_piece(now.request.service, at - now.request.arrived);
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  http_answer head = answer_head(*now.call, *surfaces_.endpoints);
  const std::function<void()> on_next = [this, &now] {
    pool_.engines().event(now.ticket, context_.clock.now());
  };
  std::string first = std::move(*piece);
  const passed_stream passed = co_await pass_stream(
      *now.call, now.exchange, std::move(head), std::move(first), on_next);
  if (passed.caller_left) {
    out.cause = {error_kind::bad_input, "the caller disconnected", ""};
    co_return out;
  }
  if (passed.broken) {
    context_.endpoints.request_failed(now.endpoint.name, context_.clock.now());
    out.cause = *passed.broken;
    out.connection_lost = is_broken(out.cause);
    co_return out;
  }
  context_.endpoints.request_succeeded(now.endpoint.name);
  co_await now.exchange.finish_stream();
  co_return out;
}

attempt endpoint_runner::no_continuation(running& now) {
  const unsigned status = now.call->status();
  now.call->cancel();
  return failed_attempt(
      run_state::unknown,
      {error_kind::endpoint_failed,
       "the endpoint answered the continuation of a stream with status " +
           std::to_string(status),
       "check the endpoint " + now.endpoint.name});
}

awaitable<attempt> endpoint_runner::deliver_events(running& now) {
  bool ended = false;
  while (!ended) {
    result<std::string> piece = co_await now.call->read_piece();
    if (!piece) co_return events_broke(now, piece.error());
    ended = piece->empty();
    if (ended && now.events.misses_something() && !has_told_end(*now.call)) {
      const error cause{error_kind::endpoint_failed,
                        "the connection closed before the stream was complete",
                        "check the endpoint " + now.endpoint.name};
      co_return events_broke(now, cause);
    }
    if (!ended) pool_.engines().event(now.ticket, context_.clock.now());
    scanned_events found =
        ended ? now.events.finish() : now.events.push(std::move(*piece));
    const stream_fault fault = found.fault;
    const bool open =
        co_await pass_events(now, std::move(found.passable), ended);
    if (!open) co_return caller_left(now);
    if (fault == stream_fault::none) continue;
    if (now.events.continued()) co_return wrong_continuation(now, fault);
    log_event(log_level::info, "stream-not-resumable",
              {{"request_id", now.request.head.request_id},
               {"endpoint", now.endpoint.name},
               {"cause", std::string(to_string(fault))}});
  }
  context_.endpoints.request_succeeded(now.endpoint.name);
  co_await now.exchange.finish_stream();
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  co_return out;
}

awaitable<bool> endpoint_runner::pass_events(running& now, std::string text,
                                             bool ended) {
  // A stream without events so far can still be restarted elsewhere.
  const bool begins = !now.exchange.answered();
  if (begins && text.empty() && !ended) co_return !now.exchange.gone();
  if (begins) {
    context_.metrics.first_piece(now.request.service,
                                 context_.clock.now() - now.request.arrived);
    http_answer head = answer_head(*now.call, *surfaces_.endpoints);
    const bool open = co_await now.exchange.start_stream(std::move(head));
    if (!open) co_return false;
  }
  co_return co_await now.exchange.write_piece(std::move(text));
}

attempt endpoint_runner::events_broke(running& now, const error& cause) {
  if (now.exchange.gone()) return caller_left(now);
  now.call->cancel();
  context_.endpoints.request_failed(now.endpoint.name, context_.clock.now());
  if (!now.exchange.answered()) {
    return broken_run(cause);
  }
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = cause;
  out.connection_lost = is_broken(cause);
  out.stream_broken = true;
  return out;
}

attempt endpoint_runner::wrong_continuation(running& now, stream_fault fault) {
  now.call->cancel();
  now.exchange.abort();
  context_.endpoints.request_failed(now.endpoint.name, context_.clock.now());
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = {error_kind::endpoint_failed, std::string(to_string(fault)),
               "check the endpoint " + now.endpoint.name};
  return out;
}

attempt endpoint_runner::caller_left(running& now) {
  now.call->cancel();
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  out.cause = {error_kind::bad_input, "the caller disconnected", ""};
  return out;
}

}  // namespace trestlepost::gateway

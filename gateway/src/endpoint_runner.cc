// Sends a request to one endpoint and delivers its answer.
#include "trestlepost/gateway/endpoint_runner.h"

#include <algorithm>
#include <utility>

#include "active_run.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

// Answers to earlier requests that are skipped on a connection before it is
// abandoned.
constexpr int max_stale_answers = 2;
// An endpoint is considered hung if it sends nothing for this multiple of the
// expected time and for the route's latency objective.
constexpr int silence_factor = 3;
using send_result = tl::expected<void, transport::call_failure>;

milliseconds max_silence(const routed_request& request,
                         const routing::completion_estimate& expected) {
  return std::max(request.route->latency_objective,
                  silence_factor * expected.first_token);
}

/// Returns whether `failure` is no sign that the endpoint is merely slow.
bool may_be_unreachable(const transport::call_failure& failure) {
  if (failure.too_late) return false;
  return !failure.bytes_written || is_connection_loss(failure.cause);
}

}  // namespace

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
  const bool heard_or_ended =
      sent || ended_by_stop(current, sent.error().cause);
  unanswered_.end(waiting, heard_or_ended, context_.clock.now());
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
  record_end(request, current, out);
  if (out.delivered && !events.continued()) {
    context_.metrics.served_in(request.service, context_.self.region);
  }
  exchange.on_disconnect(nullptr);
  pool_.engines().end_request(current.ticket, context_.clock.now());
  context_.endpoints.request_ended(endpoint.name);
  out.endpoint = endpoint.name;
  record_if_ended_by_stop(context_, request.head.request_id, request.service,
                          request.deadline, exchange, out);
  co_return out;
}

void endpoint_runner::record_end(routed_request& request,
                                 const active_run& current,
                                 const attempt& out) {
  const bool interrupted =
      out.connection_lost && !current.exchange.is_disconnected();
  if (interrupted) {
    crashes_.run_interrupted(
        request, current.began,
        {current.endpoint.name, current.endpoint.address, request.service});
  }
  const bool completed = (out.delivered && out.cause.message.empty()) ||
                         out.endpoint_answer.has_value();
  if (completed && crashes_.monitors_any()) {
    crashes_.run_completed(request.fingerprint(context_.peer_secret));
  }
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

bool endpoint_runner::ended_by_stop(const active_run& current,
                                    const error& cause) const {
  return is_ended_by_stop(context_, cause, current.request.deadline);
}

void endpoint_runner::record_failure(const active_run& current,
                                     const error& cause) {
  if (current.exchange.is_disconnected() || ended_by_stop(current, cause))
    return;
  context_.endpoints.request_failed(current.endpoint.name,
                                    context_.clock.now());
}

void endpoint_runner::record_send_failure(
    const active_run& current, const transport::call_failure& failure) {
  if (ended_by_stop(current, failure.cause)) return;
  const monotonic_time at = context_.clock.now();
  // If the request's own deadline passed, the endpoint may merely be slow.
  const bool late = failure.cause.kind == error_kind::deadline &&
                    current.answer_by == current.request.deadline;
  if (!current.exchange.is_disconnected() && may_be_unreachable(failure)) {
    context_.endpoints.endpoint_unreached(current.endpoint.name, at);
  }
  if (failure.refused) {
    context_.endpoints.connection_refused(current.endpoint.name, at);
  } else if (!current.exchange.is_disconnected() && !failure.too_late &&
             !(late && failure.bytes_written)) {
    context_.endpoints.request_failed(current.endpoint.name, at);
  }
  if (!current.exchange.is_disconnected()) {
    log_event(log_level::warn, "endpoint-failed",
              {{"request_id", current.request.head.request_id},
               {"endpoint", current.endpoint.name},
               {"sent", failure.bytes_written ? "yes" : "no"},
               {"detail", failure.cause.message}});
  }
}

attempt endpoint_runner::send_failed(const active_run& current,
                                     const transport::call_failure& failure) {
  record_send_failure(current, failure);
  attempt out =
      failed_attempt(failure.bytes_written ? run_state::unknown : run_state::no,
                     failure.cause, refused_retry_after);
  out.sends = failure.bytes_written ? 1 : 0;
  out.connection_lost =
      failure.bytes_written && is_connection_loss(failure.cause);
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

}  // namespace trestlepost::gateway

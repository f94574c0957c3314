// Tries local endpoints within the retry budget and resumes streams.
#include "trestlepost/gateway/route_service.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

// Maximum number of endpoints tried while none has received a byte of the
// request.
constexpr unsigned max_unsent_attempts = 4;
// Lower bound of Retry-After for a request that would wait too long. The
// regular value is half the wait.
constexpr milliseconds min_retry_after{100};

// A request is refused if it costs the answers in progress at an endpoint more
// than its own value plus this, as a fraction of a request's value. The margin
// avoids refusals, since few refused requests are served when they return.
constexpr double max_net_loss = 0.3;

// If too many answers are in progress, their number drops markedly after the
// mean duration of a request divided by this.
constexpr int retry_after_divisor = 4;

// Callers abandon a stream after the longest of these times without an event:
// this minimum, a multiple of the latency objective, and a multiple of the
// route's longest pause. A first event that is predicted later is not worth the
// engine's time.
constexpr milliseconds min_stream_timeout{2000};
constexpr int stream_timeout_objectives = 4;
constexpr int stream_timeout_pauses = 8;

milliseconds first_event_timeout(const config::route& route) {
  return std::max({min_stream_timeout,
                   stream_timeout_objectives * route.latency_objective,
                   stream_timeout_pauses * route.longest_pause});
}

/// Returns whether a request with the estimate `expected` would start too late.
/// Only the wait before its own prompt is compared, so that long prompts are
/// not refused earlier than short ones.
bool too_late(const routed_request& request,
              const routing::completion_estimate& expected,
              monotonic_time now) {
  if (now + expected.wait >= request.deadline) return true;
  const bool stream = request.route->kind == config::route_kind::stream;
  return stream &&
         now + expected.wait >=
             request.times.arrived + first_event_timeout(*request.route);
}

attempt long_wait_refusal(const chosen_endpoint& chosen) {
  const milliseconds wait = chosen.expected.wait;
  return failed_attempt(
      run_state::no,
      {error_kind::overloaded,
       "queued prompts would take " + std::to_string(wait.count()) + " ms",
       "send it again after Retry-After"},
      std::max(min_retry_after, wait / 2));
}

/// Returns the refusal. `slot_time` is the mean duration of a request of the
/// service.
attempt delay_refusal(const chosen_endpoint& chosen, milliseconds slot_time) {
  const milliseconds by = chosen.expected.delay_to_others;
  return failed_attempt(
      run_state::no,
      {error_kind::overloaded,
       "processing its prompt would delay other answers by " +
           std::to_string(by.count()) + " ms",
       "send it again after Retry-After"},
      std::max(min_retry_after, slot_time / retry_after_divisor));
}

/// Returns whether the caller would abandon the stream before the endpoint
/// starts.
bool continuation_too_late(const routed_request& request,
                           const routing::completion_estimate& expected,
                           monotonic_time now) {
  return now + expected.wait >= request.deadline ||
         expected.wait >= first_event_timeout(*request.route);
}

result<chosen_endpoint> resume_error(const std::string& why) {
  return fail(error_kind::endpoint_failed, why,
              "send the request again with the last event's id");
}

/// Returns the outcome of a continuation, as logged and counted.
std::string outcome_of(const attempt& it, bool caller_disconnected) {
  if (caller_disconnected) return "caller-left";
  if (!it.delivered) return "not-taken";
  return it.cause.message.empty() ? "whole" : "broken";
}

}  // namespace

std::optional<attempt> route_service::send_refusal(
    routed_request& request) const {
  if (!may_begin(context_, request)) return stopping_refusal();
  if (!crashes_.holds_any()) return std::nullopt;
  return crashes_.refusal_of(request);
}

bool route_service::must_stop_retrying(routed_request& request,
                                       const attempt& last) const {
  const bool may_have_crashed = last.sends > 0 && last.ran != run_state::no;
  return may_have_crashed && crashes_.monitors_any() &&
         crashes_.is_suspect(request);
}

bool route_service::may_retry(routed_request& request, const attempt& last,
                              unsigned unsent) const {
  if (context_.clock.now() >= context_.stop.bound(request.deadline))
    return false;
  if (must_stop_retrying(request, last)) return false;
  if (last.sends == 0) return unsent < max_unsent_attempts;
  if (request.sends.count() >= request.max_sends) return false;
  return last.ran == run_state::no || request.route->may_repeat();
}

void route_service::record_request(const std::string& service) {
  retries_.record_request(service);
}

bool route_service::charge_send(routed_request& request) {
  return retries_.charge_next(request.service, request.sends);
}

void route_service::release_unused_sends(routed_request& request) {
  retries_.refund_unused(request.service, request.sends);
}

void route_service::record_sent(routed_request& request, const attempt& sent) {
  const bool repeat = sent.sends > 0 && request.sends.count() > 0;
  if (repeat) retries_.record_repeat(request.service);
  request.sends.record_sent(sent.sends);
}

milliseconds route_service::retry_after(const routed_request& request) {
  return pool_.schedule_return(request).value_or(retry_after_unavailable);
}

tl::expected<chosen_endpoint, attempt> route_service::choose(
    const routed_request& request) {
  const result<chosen_endpoint> chosen = pool_.choose(request);
  if (!chosen) {
    return tl::make_unexpected(
        failed_attempt(run_state::no, chosen.error(), retry_after(request)));
  }
  return check_value(request, *chosen);
}

tl::expected<chosen_endpoint, attempt> route_service::check_value(
    const routed_request& request, const chosen_endpoint& chosen) const {
  const monotonic_time now = context_.clock.now();
  const bool fits =
      may_take(context_.stop, chosen.expected.finish, request.deadline, now);
  if (!fits) return tl::make_unexpected(stopping_refusal());
  if (too_late(request, chosen.expected, now)) {
    return tl::make_unexpected(long_wait_refusal(chosen));
  }
  const routing::latency_requirements requirements =
      latency_requirements_of(request, context_.stop, now);
  if (routing::net_value(chosen.expected, requirements) < -max_net_loss) {
    return tl::make_unexpected(
        delay_refusal(chosen, pool_.engines().mean_slot_time(request.service)));
  }
  return chosen;
}

void route_service::record_retry(const routed_request& request,
                                 const attempt& last,
                                 const std::string& region) {
  context_.metrics.retried(request.service);
  log_event(log_level::info, "request-retried",
            {{"request_id", request.head.request_id},
             {"endpoint", last.endpoint},
             {"to", region},
             {"sends", std::to_string(request.sends.count())},
             {"cause", last.cause.message}});
}

awaitable<attempt> route_service::serve(
    routed_request& request, const std::optional<chosen_endpoint>& first,
    transport::http_exchange& exchange) {
  std::optional<attempt> last;
  bool may_have_run = false;
  unsigned unsent = 0;
  while (true) {
    std::optional<attempt> refusal = send_refusal(request);
    if (refusal) {
      if (!last) last = std::move(refusal);
      break;
    }
    tl::expected<chosen_endpoint, attempt> chosen =
        first && !last ? check_value(request, *first) : choose(request);
    if (!chosen) {
      if (!last) last = std::move(chosen.error());
      break;
    }
    // The first send was charged by the route handler, or by the gateway that
    // forwarded the request.
    if (last && !charge_send(request)) break;
    if (last) record_retry(request, *last, context_.self.region);
    const bool may_abandon = request.route->may_repeat() &&
                             request.sends.count() + 1 < request.max_sends;
    event_scanner events;
    last =
        co_await runner_.run(request, *chosen, may_abandon, events, exchange);
    record_sent(request, *last);
    if (last->stream_interrupted) {
      request.avoid.insert(chosen->name);
      attempt interrupted = std::move(*last);
      co_return co_await resume(request, std::move(interrupted), events,
                                exchange);
    }
    if (last->delivered || exchange.has_response_started() ||
        exchange.is_disconnected()) {
      last->delivered = true;
      co_return std::move(*last);
    }
    may_have_run = may_have_run || last->ran != run_state::no;
    if (last->sends == 0) {
      request.unreached.insert(chosen->name);
      ++unsent;
    } else {
      request.avoid.insert(chosen->name);
    }
    if (!may_retry(request, *last, unsent)) break;
  }
  if (may_have_run) last->ran = run_state::unknown;
  co_return std::move(*last);
}

result<chosen_endpoint> route_service::choose_continuation(
    routed_request& request, const event_scanner& events, unsigned unsent) {
  if (events.resume_point().empty()) {
    return resume_error("the last event has no id");
  }
  const std::optional<attempt> refusal = send_refusal(request);
  if (refusal) return resume_error(refusal->cause.message);
  const monotonic_time now = context_.clock.now();
  if (now >= context_.stop.bound(request.deadline))
    return resume_error("the deadline passed");
  if (request.sends.count() >= request.max_sends) {
    return resume_error("the route permits no more attempts");
  }
  if (unsent >= max_unsent_attempts) {
    return resume_error("no endpoint accepts the request");
  }
  result<chosen_endpoint> chosen = pool_.choose(request);
  if (!chosen) return chosen;
  const bool fits =
      may_take(context_.stop, chosen->expected.finish, request.deadline, now);
  if (!fits) return resume_error(stopping_error().message);
  if (continuation_too_late(request, chosen->expected, now)) {
    return resume_error("queued prompts would take too long");
  }
  if (!charge_send(request)) {
    return resume_error("the retry budget of " + request.service +
                        " is exhausted");
  }
  return chosen;
}

void route_service::record_resumption(const routed_request& request,
                                      const attempt& before,
                                      const attempt& after,
                                      const std::string& last_event,
                                      const std::string& outcome) {
  context_.metrics.resumed(request.service, outcome);
  log_event(log_level::info, "stream-resumed",
            {{"request_id", request.head.request_id},
             {"from", before.endpoint},
             {"endpoint", after.endpoint},
             {"last_event", last_event},
             {"cause", before.cause.message},
             {"outcome", outcome},
             {"detail", after.cause.message}});
}

awaitable<attempt> route_service::resume(routed_request& request,
                                         attempt interrupted,
                                         event_scanner& events,
                                         transport::http_exchange& exchange) {
  attempt last = std::move(interrupted);
  unsigned unsent = 0;
  while (!exchange.is_disconnected()) {
    const result<chosen_endpoint> chosen =
        choose_continuation(request, events, unsent);
    if (!chosen) {
      log_event(log_level::warn, "stream-not-resumed",
                {{"request_id", request.head.request_id},
                 {"endpoint", last.endpoint},
                 {"last_event", events.resume_point()},
                 {"cause", last.cause.message},
                 {"why", chosen.error().message}});
      break;
    }
    const std::string last_event = events.resume_point();
    events.start_continuation();
    const bool may_abandon = request.sends.count() + 1 < request.max_sends;
    attempt next =
        co_await runner_.run(request, *chosen, may_abandon, events, exchange);
    record_sent(request, next);
    request.avoid.insert(chosen->name);
    const std::string outcome = outcome_of(next, exchange.is_disconnected());
    record_resumption(request, last, next, last_event, outcome);
    if (next.sends == 0) ++unsent;
    last = std::move(next);
    if (last.delivered && !last.stream_interrupted) co_return last;
  }
  exchange.abort();
  last.delivered = true;
  last.stream_interrupted = false;
  last.ran = run_state::yes;
  co_return last;
}

}  // namespace trestlepost::gateway

// Compares requests with the end of a planned stop.
#include "trestlepost/gateway/work_at_stop.h"

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::nanoseconds;

// By how much the timer of a call may expire early.
constexpr std::chrono::milliseconds timer_tolerance{20};

/// Returns the outcome of an attempt that the stop has ended, as counted.
std::string outcome_of(const attempt& ended,
                       const transport::http_exchange& exchange) {
  if (exchange.has_response_started()) return "incomplete";
  return ended.ran == run_state::no ? "not-run" : "unknown";
}

/// Explains to the caller that the stop has ended the request.
void set_stop_cause(attempt& ended) {
  if (ended.ran == run_state::no && !ended.delivered) {
    ended.cause = stopping_error();
    ended.retry_after = retry_after_wrong_node;
    return;
  }
  ended.cause = {error_kind::deadline,
                 "the node that ran it stopped before the answer was complete",
                 "send it to another node if it may run twice"};
  ended.retry_after = std::chrono::milliseconds(0);
}

}  // namespace

error stopping_error() {
  return {error_kind::draining, "this node is stopping", "use another node"};
}

attempt stopping_refusal() {
  return failed_attempt(run_state::no, stopping_error(),
                        retry_after_wrong_node);
}

bool may_begin(const stop_deadline& stop, const routing::run_time_bounds& times,
               const std::string& kind, monotonic_time deadline,
               monotonic_time now) {
  if (deadline <= stop.ends_at()) return true;
  const std::optional<nanoseconds> bound = times.bound(kind, now);
  return bound && now + *bound < stop.ends_at();
}

bool may_begin(const gateway_context& context, const std::string& kind,
               monotonic_time deadline) {
  if (!context.stop.stopping()) return true;
  return may_begin(context.stop, context.run_times, kind, deadline,
                   context.clock.now());
}

bool may_begin(const gateway_context& context, const routed_request& request) {
  if (!context.stop.stopping()) return true;
  return may_begin(context, request.run_kind(), request.deadline);
}

bool may_take(const stop_deadline& stop, nanoseconds expected,
              monotonic_time deadline, monotonic_time now) {
  if (deadline <= stop.ends_at()) return true;
  return now + routing::run_time_bounds::with_margin(expected) < stop.ends_at();
}

bool is_ended_by_stop(const stop_deadline& stop, const error& cause,
                      monotonic_time deadline, monotonic_time now) {
  return stop.stopping() && cause.kind == error_kind::deadline &&
         deadline > stop.ends_at() && now + timer_tolerance >= stop.ends_at();
}

bool is_ended_by_stop(const gateway_context& context, const error& cause,
                      monotonic_time deadline) {
  return is_ended_by_stop(context.stop, cause, deadline, context.clock.now());
}

void record_if_ended_by_stop(const gateway_context& context,
                             const std::string& request_id,
                             const std::string& service,
                             monotonic_time deadline,
                             const transport::http_exchange& exchange,
                             attempt& ended) {
  const bool by_stop = !exchange.is_disconnected() &&
                       is_ended_by_stop(context, ended.cause, deadline);
  if (!by_stop) return;
  set_stop_cause(ended);
  const std::string outcome = outcome_of(ended, exchange);
  context.metrics.ended_by_stop(service, outcome);
  log_event(log_level::warn, "request-ended-by-stop",
            {{"request_id", request_id},
             {"service", service},
             {"endpoint", ended.endpoint},
             {"gateway", ended.gateway},
             {"outcome", outcome}});
}

void record_run_time(gateway_context& context, const std::string& kind,
                     monotonic_time began, const attempt& outcome) {
  const bool ended = (outcome.delivered && outcome.cause.message.empty()) ||
                     outcome.endpoint_answer.has_value() ||
                     outcome.cause.kind == error_kind::deadline;
  context.run_times.end(kind, began, context.clock.now(), ended);
}

}  // namespace trestlepost::gateway

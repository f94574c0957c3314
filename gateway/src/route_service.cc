#include "trestlepost/gateway/route_service.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;

// Maximum number of endpoints tried while none has received a byte of the
// request.
constexpr unsigned most_unsent_tries = 4;
// Lower bound of Retry-After for a request that would wait too long. The
// regular value is half the wait.
constexpr milliseconds least_retry_after{100};

// A request is refused if it costs the answers in progress at an endpoint more
// than its own value plus this, as a fraction of a request's value. The margin
// avoids refusals, since few refused requests are served when they return.
constexpr double most_net_loss = 0.3;

// If too many answers are in progress, their number drops markedly after the
// mean duration of a request divided by this.
constexpr int parts_until_fewer_run = 4;

// Callers abandon a stream after the longest of these times without an event:
// this minimum, a multiple of the latency objective, and a multiple of the
// route's longest pause. A first event that is predicted later is not worth the
// engine's time.
constexpr milliseconds least_stream_patience{2000};
constexpr int stream_patience_objectives = 4;
constexpr int stream_patience_pauses = 8;

milliseconds first_event_patience(const config::route& route) {
  return std::max({least_stream_patience,
                   stream_patience_objectives * route.latency_objective,
                   stream_patience_pauses * route.longest_pause});
}

/// Returns whether a request with the estimate `expected` would start too late.
/// Only the wait before its own prompt is compared, so that long prompts are
/// not refused earlier than short ones.
bool too_late(const routed_request& request, const routing::outlook& expected,
              monotonic_time now) {
  if (now + expected.wait >= request.deadline) return true;
  const bool stream = request.route->kind == config::route_kind::stream;
  return stream && now + expected.wait >=
                       request.arrived + first_event_patience(*request.route);
}

attempt none_open(const error& cause) {
  return failed_attempt(run_state::no, cause, after_none_open);
}

attempt wait_too_long(const chosen_endpoint& chosen) {
  const milliseconds wait = chosen.expected.wait;
  return failed_attempt(
      run_state::no,
      {error_kind::overloaded,
       "queued prompts would take " + std::to_string(wait.count()) + " ms",
       "send it again after Retry-After"},
      std::max(least_retry_after, wait / 2));
}

/// Returns the refusal. `hold` is the mean duration of a request of the
/// service.
attempt puts_off_too_much(const chosen_endpoint& chosen, milliseconds hold) {
  const milliseconds by = chosen.expected.slows_others;
  return failed_attempt(
      run_state::no,
      {error_kind::overloaded,
       "processing its prompt would delay other answers by " +
           std::to_string(by.count()) + " ms",
       "send it again after Retry-After"},
      std::max(least_retry_after, hold / parts_until_fewer_run));
}

/// Returns whether the caller would abandon the stream before the endpoint
/// starts.
bool rest_too_late(const routed_request& request,
                   const routing::outlook& expected, monotonic_time now) {
  return now + expected.wait >= request.deadline ||
         expected.wait >= first_event_patience(*request.route);
}

result<chosen_endpoint> not_continued(const std::string& why) {
  return fail(error_kind::endpoint_failed, why,
              "send the request again with the last event's id");
}

/// Returns the outcome of a continuation, as logged and counted.
std::string outcome_of(const attempt& it, bool caller_left) {
  if (caller_left) return "caller-left";
  if (!it.delivered) return "not-taken";
  return it.cause.message.empty() ? "whole" : "broken";
}

}  // namespace

std::size_t route_service::known_gateways() const {
  // Unreachable gateways are included: they may retry on the other side of a
  // network partition.
  const std::vector<const membership::node_record*> all = context_.nodes.all();
  return static_cast<std::size_t>(std::count_if(
      all.begin(), all.end(), [](const membership::node_record* it) {
        return !it->last.node.forward_address.empty();
      }));
}

routing::retry_budget& route_service::retries_of(const std::string& service) {
  const auto known = retries_.find(service);
  if (known != retries_.end()) return known->second;
  const routing::retry_budget fresh(
      routing::share_of(retry_limits_, known_gateways()));
  return retries_.emplace(service, fresh).first->second;
}

void route_service::tick() {
  const routing::retry_budget_options share =
      routing::share_of(retry_limits_, known_gateways());
  for (auto& [service, it] : retries_) it.set_options(share);
}

std::optional<attempt> route_service::held(routed_request& request) const {
  if (!crashes_.holds_any()) return std::nullopt;
  return crashes_.refusal_of(request.fingerprint(context_.peer_secret));
}

bool route_service::spends_no_more(routed_request& request,
                                   const attempt& last) const {
  const bool may_have_crashed = last.sends > 0 && last.ran != run_state::no;
  return may_have_crashed && crashes_.monitors_any() &&
         crashes_.is_suspect(request.fingerprint(context_.peer_secret));
}

bool route_service::may_retry(routed_request& request, const attempt& last,
                              unsigned unsent) const {
  if (context_.clock.now() >= request.deadline) return false;
  if (spends_no_more(request, last)) return false;
  if (last.sends == 0) return unsent < most_unsent_tries;
  if (request.sends.count() >= request.route->attempts) return false;
  return last.ran == run_state::no || request.route->may_repeat();
}

void route_service::request_seen(const std::string& service) {
  retries_of(service).request_seen();
}

bool route_service::pay_for_send(routed_request& request) {
  const bool paid = request.sends.cover_next(retries_of(request.service));
  if (!paid) context_.metrics.retry_denied(request.service);
  return paid;
}

void route_service::end_sends(routed_request& request) {
  request.sends.end(retries_of(request.service));
}

tl::expected<chosen_endpoint, attempt> route_service::choose(
    const routed_request& request) const {
  const result<chosen_endpoint> chosen = pool_.choose(request);
  if (!chosen) return tl::make_unexpected(none_open(chosen.error()));
  return worth_running(request, *chosen);
}

tl::expected<chosen_endpoint, attempt> route_service::worth_running(
    const routed_request& request, const chosen_endpoint& chosen) const {
  const monotonic_time now = context_.clock.now();
  if (too_late(request, chosen.expected, now)) {
    return tl::make_unexpected(wait_too_long(chosen));
  }
  const routing::expectation wanted = expectation_of(request, now);
  if (routing::net_value(chosen.expected, wanted) < -most_net_loss) {
    return tl::make_unexpected(
        puts_off_too_much(chosen, pool_.engines().mean_hold(request.service)));
  }
  return chosen;
}

void route_service::note_retry(const routed_request& request,
                               const attempt& last, const std::string& region) {
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
    std::optional<attempt> refusal = held(request);
    if (refusal) {
      if (!last) last = std::move(refusal);
      break;
    }
    tl::expected<chosen_endpoint, attempt> chosen =
        first && !last ? worth_running(request, *first) : choose(request);
    if (!chosen) {
      if (!last) last = std::move(chosen.error());
      break;
    }
    // The sender has reserved the first send.
    if (last && !pay_for_send(request)) break;
    if (last) note_retry(request, *last, context_.self.region);
    const bool may_give_up =
        request.route->may_repeat() &&
        request.sends.count() + 1 < request.route->attempts;
    event_scanner events;
    last =
        co_await runner_.run(request, *chosen, may_give_up, events, exchange);
    request.sends.sent(last->sends);
    if (last->stream_broken) {
      request.avoid.insert(chosen->name);
      attempt broken = std::move(*last);
      co_return co_await resume(request, std::move(broken), events, exchange);
    }
    if (last->delivered || exchange.answered() || exchange.gone()) {
      last->delivered = true;
      co_return std::move(*last);
    }
    may_have_run = may_have_run || last->ran != run_state::no;
    request.avoid.insert(chosen->name);
    if (last->sends == 0) ++unsent;
    if (!may_retry(request, *last, unsent)) break;
  }
  if (may_have_run) last->ran = run_state::unknown;
  co_return std::move(*last);
}

result<chosen_endpoint> route_service::next_for_rest(
    routed_request& request, const event_scanner& events, unsigned unsent) {
  if (events.resume_point().empty()) {
    return not_continued("the last event has no id");
  }
  if (held(request)) return not_continued("the request is held");
  const monotonic_time now = context_.clock.now();
  if (now >= request.deadline) return not_continued("the deadline has passed");
  if (request.sends.count() >= request.route->attempts) {
    return not_continued("the route permits no more attempts");
  }
  if (unsent >= most_unsent_tries) {
    return not_continued("no endpoint accepts the request");
  }
  result<chosen_endpoint> chosen = pool_.choose(request);
  if (!chosen) return chosen;
  if (rest_too_late(request, chosen->expected, now)) {
    return not_continued("queued prompts would take too long");
  }
  if (!pay_for_send(request)) {
    return not_continued("the retry budget of " + request.service +
                         " is exhausted");
  }
  return chosen;
}

void route_service::note_resumption(const routed_request& request,
                                    const attempt& before, const attempt& after,
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
                                         attempt broken, event_scanner& events,
                                         transport::http_exchange& exchange) {
  attempt last = std::move(broken);
  unsigned unsent = 0;
  while (!exchange.gone()) {
    const result<chosen_endpoint> chosen =
        next_for_rest(request, events, unsent);
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
    events.continue_elsewhere();
    const bool may_give_up =
        request.sends.count() + 1 < request.route->attempts;
    attempt next =
        co_await runner_.run(request, *chosen, may_give_up, events, exchange);
    request.sends.sent(next.sends);
    request.avoid.insert(chosen->name);
    const std::string outcome = outcome_of(next, exchange.gone());
    note_resumption(request, last, next, last_event, outcome);
    if (next.sends == 0) ++unsent;
    last = std::move(next);
    if (last.delivered && !last.stream_broken) co_return last;
  }
  exchange.abort();
  last.delivered = true;
  last.stream_broken = false;
  last.ran = run_state::yes;
  co_return last;
}

}  // namespace trestlepost::gateway

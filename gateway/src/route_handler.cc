// Routes a request and tries permitted regions until one of them serves it.
#include "trestlepost/gateway/route_handler.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"
#include "trestlepost/gateway/retry_after.h"
#include "trestlepost/gateway/route_regions.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_exchange;

// Maximum number of attempts at regions for one request.
constexpr std::size_t max_attempts = 3;

// A request that arrives before the node has received its plan, its endpoints
// or the confirmation that the plan is current waits up to this long. A refusal
// would certainly make it late, and most callers retry only once.
constexpr milliseconds max_startup_wait{1000};
constexpr milliseconds startup_check_interval{20};

bool has_limit(const routed_request& request) {
  return request.organisation && request.organisation->limit;
}

/// Returns how long before `now` a leader had confirmed the configuration, or
/// an empty string if none has.
std::string confirmation_age(const membership::node_state& state,
                             monotonic_time now) {
  const std::optional<monotonic_time> at = state.last_confirmed_at();
  return at ? ms_between(*at, now) : "";
}

error unavailable_error(const std::string& what) {
  return {error_kind::unavailable, what, "send it again after Retry-After"};
}

}  // namespace

bool route_handler::may_wait(const http_exchange& exchange) const {
  const bool ends_now = context_.clock.now() >= context_.stop.ends_at();
  return accepting_ && !ends_now && !exchange.is_disconnected();
}

awaitable<bool> route_handler::wait_for_startup(monotonic_time read_at,
                                                http_exchange& exchange) {
  const monotonic_time now = context_.clock.now();
  const bool waits = context_.state.is_catching_up(now) &&
                     now < read_at + max_startup_wait && may_wait(exchange);
  if (!waits) co_return false;
  co_await transport::sleep_for(context_.io, startup_check_interval);
  co_return !exchange.is_disconnected();
}

awaitable<void> route_handler::handle(http_exchange& exchange) {
  const request_times times = times_of(exchange, context_.clock.now());
  result<surface::call_head> head = surfaces_.callers->read_head(exchange);
  // The body is read in any case: closing a connection with unread bytes resets
  // it, and the caller may lose the answer.
  result<transport::request_body> body = co_await exchange.read_body();
  if (exchange.is_disconnected()) {
    record_abandoned(head ? head->request_id : "");
    co_return;
  }
  if (!head || !body) {
    const std::string id = head ? head->request_id : "";
    const error& cause = head ? body.error() : head.error();
    const attempt refused = unread_attempt(cause);
    co_await refuse_untried(refused, id, "", exchange);
    co_return;
  }
  transport::shared_text text = transport::share_text(std::move(*body));
  co_await answer(std::move(*head), std::move(text), times, exchange);
}

void route_handler::record_abandoned(const std::string& request_id) {
  // An overloaded node reads its oldest connections first. Any work for callers
  // who have given up would keep it from ever reading one that is still there.
  context_.metrics.request_done("none", "abandoned", milliseconds(0));
  log_event(log_level::info, "request-abandoned", {{"request_id", request_id}});
}

result<routed_request> route_handler::route(surface::call_head head,
                                            transport::shared_text body,
                                            const request_times& times) const {
  const config::plan_ptr& plan = routes_.plan();
  if (!plan) {
    return tl::make_unexpected(unavailable_error("this node has no plan yet"));
  }
  if (!accepting_) return tl::make_unexpected(stopping_error());
  if (context_.state.is(membership::node_states::outdated)) {
    return fail(error_kind::configuration_behind,
                "other nodes have a newer configuration", "use another node");
  }
  const config::route* found = routes_.find(head.host, head.path());
  if (found == nullptr) {
    return fail(error_kind::not_found,
                "no route of plan " + std::to_string(plan->number) +
                    " matches " + head.host + std::string(head.path()),
                "check the host and the path");
  }
  const bool confirmed = context_.state.confirmed_at(context_.clock.now());
  const result<config::organisation_ptr> organisation =
      callers_.identify(head, *found, confirmed);
  if (!organisation) return tl::make_unexpected(organisation.error());
  callers_.record(head, *organisation);
  routed_request out;
  out.plan = plan;
  out.route = found;
  out.max_sends = found->attempts;
  out.organisation = *organisation;
  if (has_no_home(out)) {
    return fail(error_kind::not_permitted,
                "no region is a home of both route " + found->name + " and " +
                    out.organisation->name,
                "ask the operator to change the home regions");
  }
  out.service = routing::choose_service(*found, context_.random);
  out.times = times;
  const milliseconds time_limit =
      std::min(head.caller_timeout.value_or(found->timeout), found->timeout);
  out.deadline = times.arrived + time_limit;
  if (out.is_overdue(context_.clock.now())) {
    return tl::make_unexpected(overdue_error());
  }
  if (!may_begin(context_, out)) {
    return tl::make_unexpected(stopping_error());
  }
  out.head = std::move(head);
  out.body = std::move(body);
  out.work = work_of(out);
  return out;
}

awaitable<void> route_handler::answer(surface::call_head head,
                                      transport::shared_text body,
                                      const request_times times,
                                      http_exchange& exchange) {
  const std::string id = head.request_id;
  // After a stall, pending requests and configuration changes are read in
  // arbitrary order. A request may be read before the change that forbids a
  // destination for it.
  while (!routes_.plan() || context_.state.is_behind(context_.clock.now())) {
    const bool waited = co_await wait_for_startup(times.read_at, exchange);
    if (!waited) break;
  }
  result<routed_request> request =
      route(std::move(head), std::move(body), times);
  if (request && co_await wait_for_usage(*request, exchange)) {
    if (exchange.is_disconnected()) {
      record_abandoned(id);
      co_return;
    }
    // The plan may have changed meanwhile.
    request = route(std::move(request->head), std::move(request->body), times);
  }
  if (!request) {
    const milliseconds retry_after =
        routes_.plan() ? retry_after_wrong_node : retry_after_no_plan;
    const attempt refused =
        failed_attempt(run_state::no, request.error(), retry_after);
    co_await refuse_untried(refused, id, "", exchange);
    co_return;
  }
  const std::optional<attempt> over_limit = check_limit(*request);
  if (over_limit) {
    co_await refuse_untried(*over_limit, id, request->head.organisation,
                            exchange);
    co_return;
  }
  local_.record_request(request->service);
  const std::string kind = request->run_kind();
  context_.run_times.begin(kind, times.arrived);
  attempt outcome = co_await run(*request, exchange);
  record_run_time(context_, kind, times.arrived, outcome);
  return_unused_amount(*request, outcome);
  local_.release_unused_sends(*request);
  record(*request, outcome);
  if (outcome.delivered || exchange.has_response_started() ||
      exchange.is_disconnected())
    co_return;
  if (outcome.endpoint_answer) {
    transport::http_response last_endpoint_answer =
        std::move(*outcome.endpoint_answer);
    co_await exchange.respond(std::move(last_endpoint_answer));
    co_return;
  }
  co_await refuse(outcome, id, exchange);
}

awaitable<bool> route_handler::wait_for_usage(const routed_request& request,
                                              http_exchange& exchange) {
  if (!has_limit(request)) co_return false;
  limits_.record_request(*request.organisation,
                         usage_of(request, *request.organisation->limit),
                         context_.clock.now());
  bool waited = false;
  while (limits_.is_learning(context_.clock.now()) && may_wait(exchange)) {
    co_await transport::sleep_for(context_.io, startup_check_interval);
    waited = true;
  }
  co_return waited;
}

std::optional<attempt> route_handler::check_limit(
    const routed_request& request) {
  if (!has_limit(request)) return std::nullopt;
  const usage::usage_decision decision = limits_.admit(
      *request.organisation, usage_of(request, *request.organisation->limit),
      context_.clock.now());
  if (decision.admitted) return std::nullopt;
  return failed_attempt(run_state::no,
                        {error_kind::usage_limit_reached,
                         "the usage limit of organisation " +
                             request.organisation->name + " is reached",
                         "send it again after Retry-After"},
                        decision.retry_after);
}

void route_handler::return_unused_amount(const routed_request& request,
                                         const attempt& outcome) {
  if (!has_limit(request) || outcome.delivered || outcome.ran != run_state::no)
    return;
  limits_.give_back(request.organisation->name,
                    usage_of(request, *request.organisation->limit));
}

awaitable<void> route_handler::refuse_untried(const attempt& refused,
                                              const std::string& request_id,
                                              const std::string& organisation,
                                              http_exchange& exchange) {
  context_.metrics.request_done(
      "none", std::string(to_string(refused.cause.kind)), milliseconds(0));
  log_event(log_level::info, "request-refused",
            {{"request_id", request_id},
             {"organisation", organisation},
             {"cause", refused.cause.message}});
  co_await refuse(refused, request_id, exchange);
}

bool route_handler::may_try_other_region(routed_request& request,
                                         const attempt& last) const {
  if (local_.must_stop_retrying(request, last)) return false;
  if (request.sends.count() >= request.max_sends) return false;
  if (context_.clock.now() >= context_.stop.bound(request.deadline))
    return false;
  return last.ran == run_state::no || request.route->may_repeat();
}

void route_handler::record_tried(tried_regions& tried,
                                 const region_decision& chosen,
                                 const attempt& last) const {
  ++tried.attempts;
  if (is_gateway_failure(last)) {
    tried.failed_gateways.insert(last.gateway);
  } else if (chosen.endpoint) {
    tried.own_endpoints = true;
    tried.own_unreached = !last.endpoint.empty() && last.sends == 0;
  } else if (chosen.region == context_.self.region) {
    tried.own_gateways = true;
  } else {
    tried.others.insert(chosen.region);
  }
}

awaitable<attempt> route_handler::run(routed_request& request,
                                      http_exchange& exchange) {
  tried_regions tried;
  attempt last =
      failed_attempt(run_state::no,
                     unavailable_error("no permitted region can serve " +
                                       request.service + " now"),
                     retry_after_unavailable);
  bool may_have_run = false;
  std::optional<transport::http_response> last_endpoint_answer;
  while (tried.attempts < max_attempts) {
    std::optional<attempt> refusal = local_.send_refusal(request);
    if (refusal) {
      if (request.sends.count() == 0) last = std::move(*refusal);
      break;
    }
    const std::optional<region_decision> chosen =
        choose_region(context_, local_.pool(), remote_, request, tried);
    if (!chosen) {
      const bool untried = tried.attempts == 0 && request.sends.count() == 0;
      bool waited = false;
      if (untried)
        waited = co_await wait_for_startup(request.times.read_at, exchange);
      if (waited) continue;
      if (untried && request.permits(context_.self.region))
        last.retry_after = local_.retry_after(request);
      break;
    }
    if (!local_.charge_send(request)) break;
    const std::string& region = chosen->region;
    if (request.sends.count() > 0) local_.record_retry(request, last, region);
    if (chosen->endpoint) {
      last = co_await local_.serve(request, chosen->endpoint, exchange);
    } else {
      last = co_await remote_.serve(request, region, tried.failed_gateways,
                                    exchange);
      request.sends.record_sent(last.sends);
      // What one gateway could not reach may be reached by others.
      if (last.sends > 0 && !last.endpoint.empty())
        request.avoid.insert(last.endpoint);
    }
    if (last.delivered || exchange.has_response_started() ||
        exchange.is_disconnected()) {
      last.delivered = true;
      co_return last;
    }
    may_have_run = may_have_run || last.ran != run_state::no;
    if (last.endpoint_answer) last_endpoint_answer = last.endpoint_answer;
    if (!may_try_other_region(request, last)) break;
    record_tried(tried, *chosen, last);
  }
  // An endpoint's own answer is preferred to a refusal by the gateway.
  if (last_endpoint_answer && !last.endpoint_answer)
    last.endpoint_answer = std::move(last_endpoint_answer);
  if (may_have_run) last.ran = run_state::unknown;
  co_return last;
}

awaitable<void> route_handler::refuse(const attempt& outcome,
                                      const std::string& request_id,
                                      http_exchange& exchange) {
  if (exchange.has_response_started() || exchange.is_disconnected()) co_return;
  const surface::refusal why{outcome.cause, outcome.ran, outcome.retry_after,
                             request_id};
  transport::http_response answer = surfaces_.callers->refuse(why);
  co_await exchange.respond(std::move(answer));
}

void route_handler::record(const routed_request& request,
                           const attempt& outcome) {
  const std::chrono::nanoseconds passed =
      context_.clock.now() - request.times.arrived;
  const std::string name = outcome.delivered
                               ? "answered"
                               : std::string(to_string(outcome.cause.kind));
  context_.metrics.request_done(request.service, name, passed);
  const std::int64_t ms =
      std::chrono::duration_cast<milliseconds>(passed).count();
  // Log lines are rate-limited by event name. Failures have their own, so that
  // they are not dropped among the lines of answered requests.
  const bool complete = outcome.delivered && outcome.cause.message.empty();
  log_event(
      complete ? log_level::info : log_level::warn,
      complete ? "request-answered" : "request-failed",
      {{"request_id", request.head.request_id},
       {"route", request.route->name},
       {"organisation", request.head.organisation},
       {"service", request.service},
       {"plan", std::to_string(request.plan->number)},
       {"outcome", name},
       {"endpoint", outcome.endpoint},
       {"ran", std::string(to_string(outcome.ran))},
       {"ms", std::to_string(ms)},
       {"waited_ms", ms_between(request.times.arrived, request.times.read_at)},
       {"confirmed_ms",
        confirmation_age(context_.state, request.times.read_at)},
       {"cause", outcome.cause.message}});
}

}  // namespace trestlepost::gateway

// Handles callers' HTTP requests: directory, readiness, and calls.
#include "trestlepost/gateway/entry_handler.h"

#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/region_views.h"
#include "trestlepost/gateway/work_at_stop.h"
#include "trestlepost/own/request_options.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::seconds;
using transport::awaitable;
using transport::http_exchange;
using transport::http_response;

/// Returns whether an attempt at another endpoint or region may succeed.
bool is_retryable(error_kind kind) {
  return kind == error_kind::unavailable || kind == error_kind::overloaded ||
         kind == error_kind::endpoint_failed || kind == error_kind::isolated ||
         kind == error_kind::draining ||
         kind == error_kind::configuration_behind;
}

/// Returns whether the region as a whole refused the request, rather than one
/// of its endpoints.
bool region_refused(error_kind kind) {
  return kind != error_kind::endpoint_failed;
}

/// Why a node in this state serves no callers.
error not_serving_error(const membership::node_state& state) {
  const char remedy[] = "query /v1/entries for another node";
  if (state.is(membership::node_states::draining))
    return {error_kind::draining, "this node is stopping", remedy};
  if (state.is(membership::node_states::outdated)) {
    return {error_kind::configuration_behind,
            "other nodes have a newer configuration", remedy};
  }
  return {error_kind::unavailable, "this node has no configuration yet",
          remedy};
}

}  // namespace

awaitable<void> entry_handler::handle(http_exchange& exchange) {
  const std::string target(exchange.target());
  std::optional<own::call_target> call =
      own::read_target(exchange.method(), target);
  if (call) {
    co_await answer_call(exchange, std::move(*call));
    co_return;
  }
  http_response answer = answer_node_query(exchange);
  co_await exchange.respond(std::move(answer));
}

http_response entry_handler::answer_node_query(
    const http_exchange& exchange) const {
  const std::string_view method = exchange.method();
  const std::string_view target = exchange.target();
  const std::optional<membership::entry_query> query =
      entries_.read_query(method, target);
  if (query) return answer_entries(exchange, *query);
  if (entries_.is_readiness_query(method, target)) {
    return entries_.show_readiness(report(context_.state.serves_callers()));
  }
  if (entries_.is_health_query(target)) {
    return entries_.show_readiness(report(true));
  }
  return entries_.refuse(
      {error_kind::not_found, "there is no such path",
       "use /v1/entries, /v1/chat/completions, /v1/completions or "
       "/v1/services/{service}/{path}"});
}

surface::node_report entry_handler::report(bool ready) const {
  return {ready, std::string(context_.state.name()), context_.store.revision()};
}

http_response entry_handler::answer_entries(
    const http_exchange& exchange, membership::entry_query query) const {
  if (query.near_region.empty()) query.near_region = context_.self.region;
  if (query.near_zone.empty()) {
    query.near_zone = context_.self.availability_zone;
  }
  const result<config::label_map> requested =
      entries_.read_labels(exchange.target());
  if (!requested) {
    http_response refused = entries_.refuse(requested.error());
    // The header is part of the interface, although no request id applies here.
    refused.headers.emplace_back("X-Request-Id", "");
    return refused;
  }
  // Entries in regions that would have to refuse the request in transit are
  // omitted.
  const result<std::shared_ptr<const config::caller>> caller =
      authenticate(exchange);
  if (caller) {
    for (const auto& [name, it] : context_.store.regions()) {
      const bool refused = routing::transit_may_be_refused(
          routing::inputs_of(context_.store), **caller, *requested, name);
      if (!refused) query.allowed_regions.push_back(name);
    }
  }
  return entries_.show_entries(
      membership::rank_entries(context_.nodes, query, context_.clock.now()),
      context_.options.directory_lifetime);
}

result<std::shared_ptr<const config::caller>> entry_handler::authenticate(
    const http_exchange& exchange) const {
  const std::string_view token =
      own::bearer_token(exchange.header("Authorization"));
  std::shared_ptr<const config::caller> caller;
  if (!token.empty()) {
    caller = context_.store.find_caller_by_token(sha256_hex(token));
  }
  if (caller) return caller;
  return fail(
      error_kind::unauthorized,
      token.empty() ? "the request has no token" : "the token is unknown",
      "send \"Authorization: Bearer TOKEN\" with the token of a "
      "caller");
}

error entry_handler::transit_error(
    const std::vector<std::string>& permitted) const {
  std::string nodes;
  membership::entry_query query;
  query.allowed_regions = permitted;
  for (const membership::entry_view& it :
       membership::rank_entries(context_.nodes, query, context_.clock.now())) {
    nodes += (nodes.empty() ? "" : ", ") + it.address;
  }
  return {error_kind::transit_refused,
          "this request may not pass through region " + context_.self.region,
          "use an entry of a permitted region: " +
              (nodes.empty() ? "none is known at present" : nodes)};
}

result<void> entry_handler::check_transit(
    const routing::placement& placed) const {
  const bool refused = placed.transit == config::transit_policy::refuse &&
                       !placed.permits(context_.self.region);
  if (!refused) return {};
  return tl::make_unexpected(transit_error(placed.permitted));
}

result<void> entry_handler::check_before_body(
    const config::caller& caller, const own::call_target& target,
    const config::label_map& labels) const {
  const routing::placement_inputs inputs = routing::inputs_of(context_.store);
  if (!target.service.empty()) {
    const std::shared_ptr<const config::service> service =
        context_.store.find_service(target.service);
    if (!service) return {};
    const result<routing::placement> placed =
        routing::compute_placement(inputs, caller, *service, labels);
    if (!placed) return tl::make_unexpected(placed.error());
    return check_transit(*placed);
  }
  // The service is named in the body, which must not be read in this region if
  // the request may have to be refused.
  if (!routing::transit_may_be_refused(inputs, caller, labels,
                                       context_.self.region)) {
    return {};
  }
  std::vector<std::string> open;
  for (const auto& [name, it] : context_.store.regions()) {
    if (!routing::transit_may_be_refused(inputs, caller, labels, name)) {
      open.push_back(name);
    }
  }
  return tl::make_unexpected(transit_error(open));
}

awaitable<tl::expected<incoming_request, attempt>> entry_handler::read_request(
    http_exchange& exchange, own::call_target target, const std::string& id) {
  incoming_request out;
  const auto refused = [](const error& cause) {
    return tl::make_unexpected(failed_attempt(run_state::no, cause));
  };
  if (!context_.state.serves_callers()) {
    error cause = not_serving_error(context_.state);
    co_return tl::make_unexpected(
        failed_attempt(run_state::no, std::move(cause), seconds(1)));
  }
  const result<std::shared_ptr<const config::caller>> caller =
      authenticate(exchange);
  if (!caller) co_return refused(caller.error());
  const result<own::request_options> options = own::read_options(exchange);
  if (!options) co_return refused(options.error());
  result<surface::call_head> head = callers_.read_head(exchange);
  if (!head) co_return refused(head.error());
  const result<void> early =
      check_before_body(**caller, target, options->labels);
  if (!early) co_return refused(early.error());
  result<transport::request_body> body = co_await exchange.read_body();
  if (!body) co_return tl::make_unexpected(unread_attempt(body.error()));
  if (target.service.empty()) {
    const result<own::model_call> call = own::read_model_call(body->text);
    if (!call) co_return refused(call.error());
    target.service = call->model;
    out.affinity = call->affinity;
  }
  out.service = context_.store.find_service(target.service);
  if (!out.service) {
    const error cause{error_kind::unknown_service,
                      "there is no service " + target.service,
                      "name a service; `trestlepost get services` lists them"};
    co_return refused(cause);
  }
  out.caller = *caller;
  out.labels = options->labels;
  out.head = std::move(*head);
  out.head.request_id = id;
  out.head.target = target.path;
  out.body = transport::share_text(std::move(*body));
  out.repeatable = options->repeatable.value_or(out.service->repeatable);
  out.idempotency_key = options->idempotency_key;
  out.priority = options->priority;
  out.deadline = context_.clock.now() +
                 out.head.caller_timeout.value_or(out.service->timeout);
  // The stop may have begun while the body arrived.
  if (!may_begin(context_, out.service->name, out.deadline))
    co_return tl::make_unexpected(stopping_refusal());
  co_return out;
}

awaitable<void> entry_handler::answer_call(http_exchange& exchange,
                                           own::call_target target) {
  const monotonic_time started = context_.clock.now();
  std::string id = own::valid_request_id(exchange.header("X-Request-Id"));
  if (id.empty()) id = make_request_id(context_.random);
  tl::expected<incoming_request, attempt> request =
      co_await read_request(exchange, std::move(target), id);
  attempt outcome;
  std::string service = "none";
  if (request) {
    service = request->service->name;
    outcome = co_await run(*request, exchange);
  } else {
    outcome = request.error();
  }
  if (!outcome.delivered) co_await refuse(exchange, outcome, id);
  const bool complete = outcome.delivered && outcome.cause.message.empty();
  const std::string result_name =
      complete ? "answered" : std::string(to_string(outcome.cause.kind));
  context_.metrics.request_done(service, result_name,
                                context_.clock.now() - started);
  log_event(
      log_level::debug, "request-done",
      {{"request_id", id}, {"service", service}, {"outcome", result_name}});
}

bool entry_handler::may_retry(const incoming_request& request,
                              const attempt& last, unsigned attempts) {
  if (attempts >= context_.options.max_attempts) return false;
  const bool safe = last.ran == run_state::no ||
                    (last.ran == run_state::unknown && request.repeatable);
  if (!safe || !is_retryable(last.cause.kind)) return false;
  if (!may_begin(context_, request.service->name, request.deadline))
    return false;
  if (context_.clock.now() >= context_.stop.bound(request.deadline))
    return false;
  return retries_.try_take();
}

awaitable<attempt> entry_handler::run(const incoming_request& request,
                                      http_exchange& exchange) {
  const result<routing::placement> placed = routing::compute_placement(
      routing::inputs_of(context_.store), *request.caller, *request.service,
      request.labels);
  if (!placed) co_return failed_attempt(run_state::no, placed.error());
  const result<void> transit = check_transit(*placed);
  if (!transit) co_return failed_attempt(run_state::no, transit.error());
  retries_.add_request();
  std::set<std::string> exhausted;
  std::set<std::string> avoid;
  attempt last = failed_attempt(
      run_state::no,
      {error_kind::unavailable,
       "no permitted region can serve " + request.service->name + " now",
       "send it again after Retry-After; `trestlepost explain` shows why"},
      seconds(2));
  for (unsigned attempts = 1;; ++attempts) {
    const routing::region_request requested{context_.self.region,
                                            context_.state.crosses_regions(),
                                            request.runs_once(), sequence_++};
    const std::vector<routing::region_candidate> ranked =
        routing::rank_regions(*placed,
                              region_views(context_, local_.queue(),
                                           request.service->name, exhausted),
                              requested, context_.options.region_choice);
    if (ranked.empty() || !ranked.front().eligible) co_return last;
    const std::string region = ranked.front().region;
    if (region == context_.self.region) {
      last = co_await local_.serve(request, avoid, exchange);
    } else {
      last = co_await remote_.serve(request, region, avoid, exchange);
    }
    if (last.delivered || exchange.has_response_started() ||
        exchange.is_disconnected()) {
      last.delivered = true;
      co_return last;
    }
    if (!may_retry(request, last, attempts)) co_return last;
    if (region_refused(last.cause.kind)) exhausted.insert(region);
    if (!last.endpoint.empty()) avoid.insert(last.endpoint);
    context_.metrics.retried(request.service->name);
  }
}

}  // namespace trestlepost::gateway

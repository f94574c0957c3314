#include "trestlepost/gateway/entry_handler.h"

#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/region_views.h"
#include "trestlepost/membership/directory.h"
#include "trestlepost/transport/query.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::seconds;
using transport::awaitable;
using transport::http_answer;
using transport::http_exchange;
using transport::query_value;

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view entries_path = "/v1/entries";

std::string_view path_of(std::string_view target) {
  return target.substr(0, target.find('?'));
}

/// Undoes percent encoding, as far as labels need it.
std::string decode_query(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      constexpr int hexadecimal = 16;
      const std::string digits(text.substr(i + 1, 2));
      out +=
          static_cast<char>(std::strtol(digits.c_str(), nullptr, hexadecimal));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

/// Whether another attempt elsewhere may do better.
bool worth_another_attempt(error_kind kind) {
  return kind == error_kind::unavailable || kind == error_kind::overloaded ||
         kind == error_kind::endpoint_failed || kind == error_kind::isolated ||
         kind == error_kind::draining ||
         kind == error_kind::configuration_behind;
}

/// Whether the whole region, and not just an endpoint of it, has refused.
bool region_refused(error_kind kind) {
  return kind != error_kind::endpoint_failed;
}

}  // namespace

awaitable<void> entry_handler::handle(http_exchange& exchange) {
  const std::string target(exchange.target());
  const std::string path(path_of(target));
  if (path == "/healthz" || path == "/readyz") {
    co_await answer_health(exchange, path == "/readyz");
    co_return;
  }
  if (path == entries_path) {
    co_await answer_entries(exchange);
    co_return;
  }
  const bool model_call =
      path == "/v1/chat/completions" || path == "/v1/completions";
  if (model_call && exchange.method() == "POST") {
    call_target call{"", path};
    co_await answer_call(exchange, std::move(call));
    co_return;
  }
  if (path.starts_with(services_prefix)) {
    const std::string rest = target.substr(services_prefix.size());
    const std::size_t slash = rest.find('/');
    if (slash != std::string::npos && slash > 0) {
      call_target call{rest.substr(0, slash), rest.substr(slash)};
      co_await answer_call(exchange, std::move(call));
      co_return;
    }
  }
  error unknown{error_kind::not_found, "there is no such path",
                "use /v1/entries, /v1/chat/completions, /v1/completions or "
                "/v1/services/{service}/{path}"};
  http_answer answer =
      transport::problem_answer(404, unknown, "no", seconds(0));
  co_await exchange.respond(std::move(answer));
}

awaitable<void> entry_handler::answer_health(http_exchange& exchange,
                                             bool readiness) {
  http_answer answer;
  const bool ok = !readiness || context_.state.serves_callers();
  answer.status = ok ? 200 : 503;
  json body;
  body["state"] = context_.state.name();
  body["revision"] = as_number(context_.store.revision());
  answer.body = to_text(body);
  co_await exchange.respond(std::move(answer));
}

awaitable<void> entry_handler::answer_entries(http_exchange& exchange) {
  membership::entry_query query;
  query.near_region = std::string(query_value(exchange.target(), "region"));
  if (query.near_region.empty()) query.near_region = context_.self.region;
  query.near_zone =
      std::string(query_value(exchange.target(), "availability_zone"));
  if (query.near_zone.empty()) {
    query.near_zone = context_.self.availability_zone;
  }
  const std::string labels =
      decode_query(query_value(exchange.target(), "labels"));
  const result<config::label_map> asked = parse_labels(labels);
  if (!asked) {
    const attempt refused = failed_attempt(run_state::no, asked.error());
    co_await refuse(exchange, refused, "");
    co_return;
  }
  // Entries that would have to refuse the request in transit are left out.
  const result<std::shared_ptr<const config::caller>> caller =
      authenticate(exchange);
  if (caller) {
    for (const auto& [name, it] : context_.store.regions()) {
      const bool refused = routing::transit_may_be_refused(
          routing::inputs_of(context_.store), **caller, *asked, name);
      if (!refused) query.allowed_regions.push_back(name);
    }
  }
  json body;
  json& entries = body["entries"] = json(Json::arrayValue);
  for (const membership::entry_view& it :
       membership::rank_entries(context_.nodes, query, context_.clock.now())) {
    json one;
    one["node"] = it.node;
    one["address"] = it.address;
    one["region"] = it.region;
    one["availability_zone"] = it.availability_zone;
    one["state"] = it.state;
    entries.append(std::move(one));
  }
  body["valid_for_ms"] = as_number(context_.options.directory_lifetime);
  http_answer answer;
  answer.body = to_text(body);
  co_await exchange.respond(std::move(answer));
}

result<std::shared_ptr<const config::caller>> entry_handler::authenticate(
    const http_exchange& exchange) const {
  const std::string_view token = bearer_token(exchange.header("Authorization"));
  std::shared_ptr<const config::caller> caller;
  if (!token.empty()) {
    caller = context_.store.caller_with_token(sha256_hex(token));
  }
  if (caller) return caller;
  return fail(
      error_kind::unauthorized,
      token.empty() ? "the request has no token" : "the token is not known",
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
              (nodes.empty() ? "none is known now" : nodes)};
}

result<void> entry_handler::check_transit(
    const routing::placement& placed) const {
  const bool refused = placed.transit == config::transit_policy::refuse &&
                       !placed.permits(context_.self.region);
  if (!refused) return {};
  return tl::make_unexpected(transit_error(placed.permitted));
}

result<void> entry_handler::check_early(const config::caller& caller,
                                        const call_target& target,
                                        const config::label_map& labels) const {
  const routing::placement_inputs inputs = routing::inputs_of(context_.store);
  if (!target.service.empty()) {
    const std::shared_ptr<const config::service> service =
        context_.store.find_service(target.service);
    if (!service) return {};
    const result<routing::placement> placed =
        routing::place(inputs, caller, *service, labels);
    if (!placed) return tl::make_unexpected(placed.error());
    return check_transit(*placed);
  }
  // The service is in the body, which must not be read here in vain.
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
    http_exchange& exchange, call_target target, const std::string& id) {
  incoming_request out;
  out.id = id;
  const auto refused = [](const error& cause) {
    return tl::make_unexpected(failed_attempt(run_state::no, cause));
  };
  if (!context_.state.serves_callers()) {
    const bool stopping = context_.state.is(membership::node_states::draining);
    error cause{stopping ? error_kind::draining : error_kind::unavailable,
                stopping ? "this node is stopping"
                         : "this node has no configuration yet",
                "ask /v1/entries for another node"};
    co_return tl::make_unexpected(
        failed_attempt(run_state::no, cause, seconds(1)));
  }
  const result<std::shared_ptr<const config::caller>> caller =
      authenticate(exchange);
  if (!caller) co_return refused(caller.error());
  const result<request_options> options = read_options(exchange);
  if (!options) co_return refused(options.error());
  const result<void> early = check_early(**caller, target, options->labels);
  if (!early) co_return refused(early.error());
  result<std::string> body = co_await exchange.read_body();
  if (!body) co_return refused(body.error());
  if (target.service.empty()) {
    const result<model_call> call = read_model_call(*body);
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
  out.method = std::string(exchange.method());
  out.path = target.path;
  out.content_type = std::string(exchange.header("Content-Type"));
  out.body = std::move(*body);
  out.repeatable = options->repeatable.value_or(out.service->repeatable);
  out.idempotency_key = options->idempotency_key;
  out.priority = options->priority;
  out.deadline =
      context_.clock.now() + options->deadline.value_or(out.service->timeout);
  co_return out;
}

awaitable<void> entry_handler::answer_call(http_exchange& exchange,
                                           call_target target) {
  const monotonic_time started = context_.clock.now();
  std::string id = sound_request_id(exchange.header("X-Request-Id"));
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
  const std::string result_name =
      outcome.delivered ? "answered"
                        : std::string(to_string(outcome.cause.kind));
  context_.metrics.request_done(service, result_name,
                                context_.clock.now() - started);
  log_event(
      log_level::debug, "request-done",
      {{"request_id", id}, {"service", service}, {"outcome", result_name}});
}

bool entry_handler::may_retry(const incoming_request& request,
                              const attempt& last, unsigned attempts) {
  if (attempts >= context_.options.most_attempts) return false;
  const bool safe = last.ran == run_state::no ||
                    (last.ran == run_state::unknown && request.repeatable);
  if (!safe || !worth_another_attempt(last.cause.kind)) return false;
  if (context_.clock.now() >= request.deadline) return false;
  return retries_.take();
}

awaitable<attempt> entry_handler::run(const incoming_request& request,
                                      http_exchange& exchange) {
  const result<routing::placement> placed =
      routing::place(routing::inputs_of(context_.store), *request.caller,
                     *request.service, request.labels);
  if (!placed) co_return failed_attempt(run_state::no, placed.error());
  const result<void> transit = check_transit(*placed);
  if (!transit) co_return failed_attempt(run_state::no, transit.error());
  retries_.request_seen();
  std::set<std::string> exhausted;
  std::set<std::string> avoid;
  attempt last = failed_attempt(
      run_state::no,
      {error_kind::unavailable,
       "no permitted region can serve " + request.service->name + " now",
       "send it again after Retry-After; `trestlepost explain` shows why"},
      seconds(2));
  for (unsigned attempts = 1;; ++attempts) {
    const routing::region_request asked{context_.self.region,
                                        context_.state.crosses_regions(),
                                        request.runs_once(), sequence_++};
    const std::vector<routing::region_candidate> ranked =
        routing::rank_regions(*placed,
                              region_views(context_, local_.queue(),
                                           request.service->name, exhausted),
                              asked, context_.options.region_choice);
    if (ranked.empty() || !ranked.front().eligible) co_return last;
    const std::string region = ranked.front().region;
    if (region == context_.self.region) {
      last = co_await local_.serve(request, avoid, exchange);
    } else {
      last = co_await remote_.serve(request, region, avoid, exchange);
    }
    if (last.delivered || exchange.answered() || exchange.gone()) {
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

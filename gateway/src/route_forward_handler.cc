// Verifies, routes and serves forwarded routed requests.
#include "trestlepost/gateway/route_forward_handler.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "refusal_message.h"
#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/retry_after.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_exchange;

result<routed_request> configuration_behind_error(const std::string& what) {
  return fail(error_kind::configuration_behind, what,
              "send it again after Retry-After");
}

}  // namespace

result<route_message> route_forward_handler::read_message(
    const http_exchange& exchange, std::string& body) const {
  const std::string_view size_text = exchange.header(message_size_header);
  std::size_t size = 0;
  std::from_chars(size_text.data(), size_text.data() + size_text.size(), size);
  if (size == 0 || size > body.size()) {
    return fail(error_kind::bad_input, "a forwarded request has no message",
                "run one version of trestlepostd on all nodes");
  }
  const std::string text = body.substr(0, size);
  body.erase(0, size);
  const std::string expected = forward_digest(context_.peer_secret, text, body);
  const std::string given(exchange.header(forward_digest_header));
  // Hashing both digests before comparison prevents timing attacks.
  if (sha256_hex(given) != sha256_hex(expected)) {
    return fail(error_kind::unauthorized, "this address is for peers",
                "send requests to the callers' address of an entry");
  }
  return route_message_from(text);
}

result<routed_request> route_forward_handler::accept(
    route_message message, transport::request_body body,
    const request_times& times) const {
  if (!context_.state.may_cross_regions(context_.clock.now())) {
    return fail(error_kind::isolated, "this node accepts no forwarded requests",
                "use another node");
  }
  const config::plan_ptr& plan = routes_.plan();
  if (!plan || plan->number < message.plan) {
    return configuration_behind_error(
        "this node has an older plan than the sender");
  }
  const config::route* route =
      routes_.find(message.head.host, message.head.path());
  if (route == nullptr)
    return configuration_behind_error("this node has no route for the request");
  const result<config::organisation_ptr> organisation =
      callers_.confirm(message.head, *route);
  if (!organisation) return tl::make_unexpected(organisation.error());
  callers_.record(message.head, *organisation);
  routed_request out;
  out.head = std::move(message.head);
  out.body = transport::share_text(std::move(body));
  out.plan = plan;
  out.route = route;
  out.organisation = *organisation;
  out.work = work_of(out);
  if (!out.permits(context_.self.region)) {
    return fail(error_kind::not_permitted,
                "route " + route->name + " does not permit region " +
                    context_.self.region + " for this caller",
                "send it again after Retry-After");
  }
  out.service = std::move(message.service);
  out.times = times;
  out.deadline = times.arrived + message.remaining;
  if (out.is_overdue(context_.clock.now())) {
    return tl::make_unexpected(overdue_error());
  }
  out.avoid = std::move(message.avoid);
  out.sends = routing::charged_sends(message.sends);
  out.max_sends = route->attempts;
  // The sender counts as many sends if it doesn't hear how many were made.
  if (message.max_sends > 0)
    out.max_sends = std::min(out.max_sends, message.max_sends);
  return out;
}

awaitable<void> route_forward_handler::handle(http_exchange& exchange) {
  if (exchange.target() != route_target) {
    co_await next_.handle(exchange);
    co_return;
  }
  result<transport::request_body> body = co_await exchange.read_body();
  const request_times times = times_of(exchange, context_.clock.now());
  attempt outcome;
  if (!body) {
    outcome = unread_attempt(body.error());
  } else {
    result<route_message> message = read_message(exchange, body->text);
    result<routed_request> request =
        message ? accept(std::move(*message), std::move(*body), times)
                : result<routed_request>(tl::make_unexpected(message.error()));
    if (request && context_.endpoints.is_unreachable(request->service)) {
      outcome = failed_attempt(
          run_state::no,
          {error_kind::isolated,
           "this gateway reaches no endpoint of " + request->service,
           "use another gateway"},
          retry_after_wrong_node);
    } else if (request) {
      const unsigned before = request->sends.count();
      const std::optional<chosen_endpoint> no_endpoint;
      const std::string kind = request->run_kind();
      context_.run_times.begin(kind, times.arrived);
      outcome = co_await service_.serve(*request, no_endpoint, exchange);
      record_run_time(context_, kind, times.arrived, outcome);
      outcome.sends = request->sends.count() - before;
      service_.release_unused_sends(*request);
    } else {
      outcome = failed_attempt(run_state::no, request.error(),
                               retry_after_wrong_node);
    }
  }
  if (outcome.delivered || exchange.has_response_started() ||
      exchange.is_disconnected())
    co_return;
  if (outcome.endpoint_answer) {
    transport::http_response answer = std::move(*outcome.endpoint_answer);
    co_await exchange.respond(std::move(answer));
    co_return;
  }
  transport::http_response refusal = make_refusal(outcome);
  co_await exchange.respond(std::move(refusal));
}

}  // namespace trestlepost::gateway

// Verifies, resolves and serves forwarded model and service calls.
#include "trestlepost/gateway/forward_handler.h"

#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/gateway/work_at_stop.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::gateway {
namespace {

using transport::awaitable;
using transport::http_exchange;

// A forwarded request older than this is rejected as a possible replay.
constexpr std::chrono::seconds forward_lifetime{30};

awaitable<void> refuse_forward(http_exchange& exchange,
                               const attempt& outcome) {
  if (exchange.has_response_started() || exchange.is_disconnected()) co_return;
  const surface::refusal why{outcome.cause, outcome.ran, outcome.retry_after};
  transport::http_response answer = own::caller_codec().refuse(why);
  answer.headers.emplace_back(refused_header, "true");
  result<json> body = parse_json(answer.body);
  if (body && !outcome.endpoint.empty()) {
    (*body)["endpoint"] = outcome.endpoint;
    answer.body = to_text(*body);
  }
  co_await exchange.respond(std::move(answer));
}

}  // namespace

result<forward_message> forward_handler::check(const http_exchange& exchange,
                                               const std::string& body) const {
  const std::string head(exchange.header(forward_header));
  const std::string expected = forward_digest(context_.peer_secret, head, body);
  const std::string given(exchange.header(forward_digest_header));
  // Hashing both digests before comparison prevents timing attacks.
  if (sha256_hex(given) != sha256_hex(expected)) {
    return fail(error_kind::unauthorized, "this address is for peers",
                "send requests to the callers' address of an entry");
  }
  result<forward_message> message = forward_message_from(head);
  if (!message) return message;
  const wall_time now = context_.clock.wall_now();
  if (message->sent_at + forward_lifetime < now ||
      message->sent_at > now + forward_lifetime) {
    return fail(error_kind::unauthorized, "the forwarded request is too old",
                "synchronize the clocks of all nodes");
  }
  return message;
}

result<incoming_request> forward_handler::accept(
    const forward_message& message, transport::request_body body) const {
  if (context_.state.is(membership::node_states::draining)) {
    return tl::make_unexpected(stopping_error());
  }
  if (!context_.state.crosses_regions()) {
    return fail(
        error_kind::isolated, "this node is isolated from the control nodes",
        "use another node; `trestlepost status` shows the isolated nodes");
  }
  if (message.revision > context_.store.revision()) {
    return fail(error_kind::configuration_behind,
                "this node is at revision " +
                    std::to_string(context_.store.revision()) +
                    ", the sender at " + std::to_string(message.revision),
                "send it again after Retry-After");
  }
  incoming_request out;
  out.head = message.head;
  out.caller = context_.store.find_caller(message.caller);
  out.service = context_.store.find_service(message.service);
  if (!out.caller || !out.service) {
    return fail(error_kind::not_permitted,
                "the caller or the service no longer exists",
                "run `trestlepost get callers` and `trestlepost get services`");
  }
  out.labels = message.labels;
  out.body = transport::share_text(std::move(body));
  out.repeatable = message.repeatable;
  out.idempotency_key = message.idempotency_key;
  out.priority = message.priority;
  out.deadline = context_.clock.now() + message.remaining;
  out.affinity = message.affinity;
  return out;
}

awaitable<void> forward_handler::handle(http_exchange& exchange) {
  result<transport::request_body> body = co_await exchange.read_body();
  if (!body) {
    const attempt refused = unread_attempt(body.error());
    co_await refuse_forward(exchange, refused);
    co_return;
  }
  const result<forward_message> message = check(exchange, body->text);
  if (!message) {
    co_await refuse_forward(exchange,
                            failed_attempt(run_state::no, message.error()));
    co_return;
  }
  const result<incoming_request> request = accept(*message, std::move(*body));
  if (!request) {
    const attempt refused =
        failed_attempt(run_state::no, request.error(), std::chrono::seconds(1));
    co_await refuse_forward(exchange, refused);
    co_return;
  }
  const attempt outcome =
      co_await service_.serve(*request, message->avoid, exchange);
  if (!outcome.delivered) co_await refuse_forward(exchange, outcome);
}

}  // namespace trestlepost::gateway

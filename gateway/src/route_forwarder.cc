// Forwards routed requests and estimates whether other regions accept them.
#include "trestlepost/gateway/route_forwarder.h"

#include <algorithm>
#include <utility>

#include "answer_relay.h"
#include "gateway_choice.h"
#include "refusal_message.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/forward_message.h"
#include "trestlepost/gateway/retry_after.h"
#include "trestlepost/gateway/route_message.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using membership::node_record;
using std::chrono::milliseconds;
using transport::awaitable;

constexpr std::size_t max_refusal_bytes = 64UL * 1024;

bool is_gateway_header(const std::string& name) {
  return name.starts_with("Trestlepost-");
}

/// Returns the head of the answer without the headers that are intended for
/// this gateway.
transport::http_response caller_head(const transport::http_call& call,
                                     const surface::endpoint_codec& codec) {
  transport::http_response out = answer_head(call, codec);
  std::erase_if(out.headers,
                [](const auto& it) { return is_gateway_header(it.first); });
  return out;
}

}  // namespace

std::uint32_t route_forwarder::unanswered_tokens(
    const std::string& region) const {
  const auto it = unanswered_.find(region);
  return it == unanswered_.end() ? 0 : it->second;
}

void route_forwarder::record_acceptance(const std::string& region,
                                        const std::string& service,
                                        const attempt& outcome) {
  const std::string place = region + "/" + service;
  const bool rejected = outcome.ran == run_state::no && outcome.sends > 0;
  if (rejected) acceptance_.record_rejected(place, context_.clock.now());
  if (outcome.delivered)
    acceptance_.record_accepted(place, context_.clock.now());
}

double route_forwarder::accept_probability(const std::string& region,
                                           const std::string& service) const {
  return acceptance_.acceptance_probability(region + "/" + service,
                                            context_.clock.now());
}

transport::http_request route_forwarder::make_request(
    const routed_request& request) const {
  route_message message;
  message.head = request.head;
  message.service = request.service;
  message.entry_region = context_.self.region;
  message.remaining = std::chrono::duration_cast<milliseconds>(
      request.deadline - context_.clock.now());
  message.remaining = std::max(message.remaining, milliseconds(1));
  message.avoid = request.avoid;
  message.sends = request.sends.count();
  message.max_sends = request.sends.count() + request.sends_left();
  message.plan = request.plan->number;
  const std::string text = to_text(to_json(message));
  transport::http_request out;
  out.target = route_target;
  out.headers = {{message_size_header, std::to_string(text.size())},
                 {forward_digest_header,
                  forward_digest(context_.peer_secret, text,
                                 transport::view_of(request.body))}};
  out.body = text;
  out.shared_body = request.body;
  return out;
}

awaitable<attempt> route_forwarder::serve(const routed_request& request,
                                          const std::string& region,
                                          const std::set<std::string>& excluded,
                                          transport::http_exchange& exchange) {
  const node_record* gateway =
      choose_gateway(context_, region, request.service, excluded);
  if (gateway == nullptr) {
    co_return failed_attempt(
        run_state::no,
        {error_kind::unavailable, "no gateway of " + region + " is reachable",
         "send it again after Retry-After"},
        retry_after_wrong_node);
  }
  // The record may be replaced while the call is in progress.
  const std::string name = gateway->last.node.name;
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(gateway->last.node.forward_address);
  std::function<void()> on_disconnect = [call] { call->cancel(); };
  exchange.on_disconnect(std::move(on_disconnect));
  context_.metrics.forwarded(region);
  transport::http_request out = make_request(request);
  unanswered_[region] += request.work.prompt_tokens;
  const tl::expected<void, transport::call_failure> sent =
      co_await call->send(std::move(out), request.deadline);
  unanswered_[region] -= request.work.prompt_tokens;
  // How many sends the other gateway has made is known from a refusal only.
  const unsigned permitted_sends = request.sends_left();
  attempt outcome;
  if (!sent) {
    const bool written = sent.error().bytes_written;
    outcome = failed_attempt(written ? run_state::unknown : run_state::no,
                             sent.error().cause, retry_after_wrong_node);
    outcome.sends = written ? permitted_sends : 0;
  } else if (!call->header(refused_header).empty()) {
    const result<std::string> body =
        co_await call->read_rest(max_refusal_bytes);
    outcome = read_refusal(body ? *body : "{}", permitted_sends);
  } else {
    outcome = co_await relay_answer(request, *call, exchange);
    outcome.sends = permitted_sends;
  }
  exchange.on_disconnect(nullptr);
  outcome.gateway = name;
  record_if_ended_by_stop(context_, request.head.request_id, request.service,
                          request.deadline, exchange, outcome);
  if (!outcome.delivered && !exchange.is_disconnected()) {
    log_event(log_level::info, "forward-failed",
              {{"request_id", request.head.request_id},
               {"gateway", name},
               {"ran", std::string(to_string(outcome.ran))},
               {"cause", outcome.cause.message}});
  }
  record_acceptance(region, request.service, outcome);
  co_return outcome;
}

awaitable<attempt> route_forwarder::relay_answer(
    const routed_request& request, transport::http_call& call,
    transport::http_exchange& exchange) {
  attempt out;
  out.ran = run_state::unknown;
  transport::http_response head = caller_head(call, *surfaces_.endpoints);
  const bool streamed = request.route->kind == config::route_kind::stream;
  if (!streamed) {
    result<plain_body> body = co_await read_plain_body(
        call, context_.memory, request.route->may_repeat());
    if (!body) {
      out.cause = body.error();
      co_return out;
    }
    if (!body->complete) {
      answer_reader rest(call, answer_body::opaque, max_plain_bytes);
      co_return co_await relay_pieces(rest, exchange, std::move(head),
                                      std::move(body->text));
    }
    out.delivered = true;
    out.ran = run_state::yes;
    head.body = std::move(body->text);
    head.share = std::make_shared<const memory_share>(std::move(body->share));
    co_await exchange.respond(std::move(head));
    co_return out;
  }
  answer_reader reader(call, body_of(request, call.status()),
                       max_stream_bytes(request));
  result<std::string> piece = co_await reader.read_piece();
  if (!piece) {
    out.cause = piece.error();
    co_return out;
  }
  co_return co_await relay_pieces(reader, exchange, std::move(head),
                                  std::move(*piece));
}

awaitable<attempt> route_forwarder::relay_pieces(
    answer_reader& reader, transport::http_exchange& exchange,
    transport::http_response head, std::string first) {
  attempt out;
  out.delivered = true;
  out.ran = run_state::yes;
  const std::function<void()> on_next = [] {};
  const relayed_stream relayed = co_await relay_stream(
      reader, exchange, std::move(head), std::move(first), on_next);
  if (relayed.caller_disconnected) {
    out.cause = {error_kind::bad_input, "the caller disconnected", ""};
    co_return out;
  }
  if (relayed.interruption) {
    out.cause = *relayed.interruption;
    co_return out;
  }
  co_await exchange.finish_stream();
  co_return out;
}

}  // namespace trestlepost::gateway

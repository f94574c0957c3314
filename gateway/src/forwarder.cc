// Forwards a call to the less loaded of two random gateways of a region.
#include "trestlepost/gateway/forwarder.h"

#include <charconv>
#include <utility>

#include "gateway_choice.h"
#include "trestlepost/gateway/delivery.h"
#include "trestlepost/gateway/forward_message.h"
#include "trestlepost/gateway/work_at_stop.h"

namespace trestlepost::gateway {
namespace {

using membership::node_record;
using std::chrono::milliseconds;
using transport::awaitable;
using transport::http_exchange;

constexpr std::size_t max_refusal_bytes = 64UL * 1024;

forward_message make_message(const incoming_request& request,
                             std::set<std::string> avoid,
                             const gateway_context& context) {
  forward_message out;
  out.head = request.head;
  out.caller = request.caller->name;
  out.service = request.service->name;
  out.labels = request.labels;
  out.repeatable = request.repeatable;
  out.idempotency_key = request.idempotency_key;
  out.priority = request.priority;
  out.remaining = std::chrono::duration_cast<milliseconds>(request.deadline -
                                                           context.clock.now());
  out.affinity = request.affinity;
  out.avoid = std::move(avoid);
  out.revision = context.store.revision();
  out.sent_at = context.clock.wall_now();
  return out;
}

/// Parses the refusal of the other gateway.
attempt read_refusal(const std::string& body, std::string_view retry_after) {
  const result<json> parsed = parse_json(body);
  const json value = parsed ? *parsed : json(Json::objectValue);
  const std::string ran = text_of(value, "ran");
  std::int64_t seconds = 0;
  std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(),
                  seconds);
  attempt out = failed_attempt(
      ran == "no" ? run_state::no
                  : (ran == "yes" ? run_state::yes : run_state::unknown),
      {error_kind_from(text_of(value, "kind")), text_of(value, "detail"),
       text_of(value, "remedy")},
      std::chrono::seconds(seconds));
  out.endpoint = text_of(value, "endpoint");
  return out;
}

}  // namespace

awaitable<attempt> forwarder::serve(const incoming_request& request,
                                    const std::string& region,
                                    std::set<std::string> avoid,
                                    http_exchange& exchange) {
  const node_record* gateway =
      choose_gateway(context_, region, request.service->name, {});
  if (gateway == nullptr) {
    co_return failed_attempt(
        run_state::no,
        {error_kind::unavailable, "no gateway of " + region + " is reachable",
         "send it again after Retry-After"},
        std::chrono::seconds(2));
  }
  const std::string address = gateway->last.node.forward_address;
  const std::string head =
      to_text(to_json(make_message(request, std::move(avoid), context_)));
  transport::http_request out;
  out.target = forward_target;
  out.headers = {{forward_header, head},
                 {forward_digest_header,
                  forward_digest(context_.peer_secret, head,
                                 transport::view_of(request.body))}};
  out.shared_body = request.body;
  const std::shared_ptr<transport::http_call> call =
      context_.client.call(address);
  if (request.repeatable) exchange.on_disconnect([call] { call->cancel(); });
  context_.metrics.forwarded(region);
  const std::string& service = request.service->name;
  const tl::expected<void, transport::call_failure> sent =
      co_await call->send(std::move(out), request.deadline);
  if (!sent) {
    const run_state ran =
        sent.error().bytes_written ? run_state::unknown : run_state::no;
    attempt failed =
        failed_attempt(ran, sent.error().cause, std::chrono::seconds(1));
    record_if_ended_by_stop(context_, request.head.request_id, service,
                            request.deadline, exchange, failed);
    co_return failed;
  }
  if (!call->header(refused_header).empty()) {
    const result<std::string> body =
        co_await call->read_rest(max_refusal_bytes);
    co_return read_refusal(body ? *body : "{}", call->header("Retry-After"));
  }
  transport::header_list headers =
      answer_headers(region, run_state::yes, request.head.request_id);
  if (!call->header("Trestlepost-Replayed").empty()) {
    headers.emplace_back("Trestlepost-Replayed", "true");
  }
  std::function<void()> on_first = [] {};
  delivery_result delivered =
      co_await deliver(*call, exchange, std::move(headers), context_.memory,
                       std::move(on_first));
  record_if_ended_by_stop(context_, request.head.request_id, service,
                          request.deadline, exchange, delivered.outcome);
  co_return delivered.outcome;
}

}  // namespace trestlepost::gateway

#include "order_handler.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using surface::operator_order;
using surface::order_kind;
using transport::awaitable;
using transport::http_response;

// Timeout for an answer. Operators try another node after 1 s, so a later
// answer is useless.
constexpr milliseconds answer_timeout{900};

// Interval between checks of a lapsed lease.
constexpr milliseconds lease_check_interval{10};
// Delay between two attempts at a change or a read.
constexpr milliseconds retry_delay{50};

// A plan of at least this size (one connection window) is streamed while its
// read is being confirmed. Between regions the confirmation takes as long as
// the transfer of half a megabyte.
constexpr std::size_t min_streamed_bytes = 64UL * 1024;
// Number of bytes at the end of a streamed plan that are withheld until the
// read is confirmed.
constexpr std::size_t withheld_bytes = 64;
constexpr unsigned streamed_status = 200;

// Bounds of the time that an order waits for the end of its connection. The
// upper one leaves most of `answer_timeout` to the decision.
constexpr milliseconds min_close_delay{10};
constexpr milliseconds max_close_delay{300};

constexpr char retry_remedy[] = "send the same request again";

/// A value that a callback delivers, and a timer to wait for it.
template <typename T>
struct pending_result {
  explicit pending_result(transport::asio::io_context& io) : timer(io) {}

  transport::timer timer;
  std::optional<T> value;

  void deliver(T received) {
    value = std::move(received);
    timer.cancel();
  }
};

/// Waits for the value, at most until `deadline`.
template <typename T>
awaitable<void> wait_for(std::shared_ptr<pending_result<T>> pending,
                         monotonic_time deadline) {
  if (pending->value) co_return;
  pending->timer.expires_at(deadline);
  boost::system::error_code ec;
  co_await pending->timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

/// Whether a request that failed with `refusal` may succeed shortly after.
bool is_transient(const error& refusal) {
  return refusal.kind == error_kind::unavailable ||
         refusal.kind == error_kind::not_leader;
}

bool is_conflict(const change_outcome& outcome) {
  return outcome && outcome->status == config::change_status::conflict;
}

/// Whether the order may succeed if it is proposed again.
bool is_retryable(const operator_order& order, const change_outcome& outcome) {
  if (!outcome) return is_transient(outcome.error());
  // Another plan was committed first, so the edit's base is out of date. An
  // order for a zone that was overtaken stays so: its sender may have given the
  // newer one.
  return order.plan && is_conflict(outcome);
}

error unknown_outcome() {
  return {error_kind::unavailable, "the outcome is not known yet",
          retry_remedy};
}

error sender_has_left() {
  return {error_kind::deadline, "the sender has closed its connection",
          "send the order again and wait for its answer"};
}

/// How long to wait for the end of a connection whose last data has arrived. If
/// the network has delayed both until the sender gave up, the end arrives up to
/// a round trip later.
milliseconds close_delay_of(transport::http_exchange& exchange) {
  const milliseconds round_trip =
      std::chrono::ceil<milliseconds>(exchange.round_trip_time());
  return std::clamp(2 * round_trip, min_close_delay, max_close_delay);
}

std::string_view name_of(order_kind kind) {
  switch (kind) {
    case order_kind::replace_plan:
      return "replace-plan";
    case order_kind::read_plan:
      return "read-plan";
    case order_kind::evacuate:
      return "evacuate";
    case order_kind::end_evacuation:
      break;
  }
  return "end-evacuation";
}

/// Encodes an order as a change. `base_plan` is the plan in force, the base of
/// a plan edit, or null.
config::change make_change(const operator_order& order,
                           const config::traffic_plan* base_plan,
                           random_source& random) {
  config::change out;
  out.id = "order-" + make_request_id(random);
  out.operator_name = "operator";
  if (order.plan) {
    out.edited_plan = std::make_shared<const config::plan_edit>(
        config::make_plan_edit(base_plan, *order.plan));
  } else {
    out.evacuation = config::zone_evacuation{
        order.availability_zone, order.kind == order_kind::evacuate};
  }
  return out;
}

}  // namespace

awaitable<void> order_handler::handle(transport::http_exchange& exchange) {
  const std::string target(exchange.target());
  const monotonic_time started = context_.clock.now();
  const node_moment arrived =
      control_->orders().arrival(exchange.time_since_data());
  const result<transport::request_body> body = co_await exchange.read_body();
  const monotonic_time read = context_.clock.now();
  std::optional<http_response> out;
  if (body) {
    out = co_await answer(exchange, body->text, arrived);
  } else {
    out = surface_->refuse(body.error());
  }
  const monotonic_time answered = context_.clock.now();
  const unsigned status = out ? out->status : streamed_status;
  const std::size_t answer_bytes = out ? out->body.size() : 0;
  if (out) co_await exchange.respond(std::move(*out));
  log_event(log_level::info, "order-timed",
            {{"target", target},
             {"status", std::to_string(status)},
             {"bytes", std::to_string(body ? body->text.size() : 0)},
             {"answer_bytes", std::to_string(answer_bytes)},
             {"read_ms", ms_between(started, read)},
             {"decide_ms", ms_between(read, answered)},
             {"write_ms", ms_between(answered, context_.clock.now())}});
}

awaitable<std::optional<http_response>> order_handler::answer(
    transport::http_exchange& exchange, const std::string& body,
    node_moment arrived) {
  const std::string method(exchange.method());
  const std::string target(exchange.target());
  const result<operator_order> order =
      surface_->read_order(method, target, body);
  if (!order) {
    log_event(log_level::info, "order-refused",
              {{"target", target}, {"detail", order.error().message}});
    co_return surface_->refuse(order.error());
  }
  const monotonic_time deadline = deadline_of(*order, arrived.at);
  http_response out;
  if (order->kind == order_kind::read_plan) {
    const config::plan_ptr plan = control_->machine().store().plan();
    const bool large = plan && plan->document.size() >= min_streamed_bytes;
    if (large && control_->knows_leader()) {
      co_await stream_plan(exchange, plan, deadline);
      co_return std::nullopt;
    }
    out = co_await read_plan(deadline);
  } else {
    out = co_await change(*order, exchange, arrived, deadline);
  }
  log_event(log_level::info, "order-answered",
            {{"order", std::string(name_of(order->kind))},
             {"zone", order->availability_zone},
             {"number", order->plan ? std::to_string(order->plan->number) : ""},
             {"sender", exchange.is_disconnected() ? "left" : "waiting"},
             {"status", std::to_string(out.status)}});
  co_return out;
}

monotonic_time order_handler::deadline_of(const operator_order& order,
                                          monotonic_time arrived) const {
  // Reads and plans may come late: a plan's number tells whether it is
  // outdated.
  const bool evacuation = order.kind == order_kind::evacuate ||
                          order.kind == order_kind::end_evacuation;
  const monotonic_time from = evacuation ? arrived : context_.clock.now();
  return context_.stop.bound(from + answer_timeout);
}

awaitable<void> order_handler::wait_for_lease(monotonic_time deadline) {
  // After a long event loop iteration, such as one that reads a large order,
  // the replies that renew the lease are still unread in the sockets.
  while (control_->is_leader() && !control_->leads() &&
         context_.clock.now() < deadline) {
    co_await transport::sleep_for(context_.io, lease_check_interval);
  }
}

awaitable<http_response> order_handler::change(
    const operator_order& order, transport::http_exchange& exchange,
    node_moment arrived, monotonic_time deadline) {
  if (order.plan) {
    const result<void> valid = config::validate_plan(*order.plan);
    if (!valid) co_return surface_->refuse(valid.error());
  } else {
    const milliseconds close_delay = close_delay_of(exchange);
    co_await transport::sleep_for(context_.io, close_delay);
  }
  std::optional<change_outcome> outcome =
      co_await propose(order, exchange, arrived, deadline);
  while (outcome && is_retryable(order, *outcome) &&
         context_.clock.now() + retry_delay < deadline) {
    co_await transport::sleep_for(context_.io, retry_delay);
    outcome = co_await propose(order, exchange, arrived, deadline);
  }
  if (!outcome) co_return surface_->refuse(unknown_outcome());
  if (!*outcome) co_return surface_->refuse(outcome->error());
  const config::change_result& decided = **outcome;
  if (decided.status == config::change_status::accepted) {
    co_return surface_->acknowledge(order);
  }
  if (is_conflict(*outcome)) {
    const error superseded{error_kind::unavailable, decided.message,
                           retry_remedy};
    co_return surface_->refuse(superseded);
  }
  const error invalid{error_kind::bad_input, decided.message, decided.remedy};
  co_return surface_->refuse(invalid);
}

awaitable<std::optional<change_outcome>> order_handler::propose(
    const operator_order& order, transport::http_exchange& exchange,
    node_moment arrived, monotonic_time deadline) {
  co_await wait_for_lease(deadline);
  if (exchange.has_caller_left()) {
    log_event(log_level::info, "order-abandoned",
              {{"order", std::string(name_of(order.kind))},
               {"zone", order.availability_zone}});
    co_return change_outcome(tl::make_unexpected(sender_has_left()));
  }
  // An order that waited in this node's socket for too long is not proposed,
  // also if its sender seems to be there.
  if (context_.clock.now() >= deadline) {
    log_event(log_level::info, "order-expired",
              {{"order", std::string(name_of(order.kind))},
               {"zone", order.availability_zone}});
    co_return std::nullopt;
  }
  const std::shared_ptr<pending_result<change_outcome>> pending =
      std::make_shared<pending_result<change_outcome>>(context_.io);
  const config::plan_ptr base_plan = control_->machine().store().plan();
  config::change requested =
      make_change(order, base_plan.get(), context_.random);
  log_event(log_level::info, "order-proposed",
            {{"order", std::string(name_of(order.kind))},
             {"zone", order.availability_zone},
             {"change_id", requested.id}});
  control_->orders().submit(
      std::move(requested), arrived, [pending](const result<json>& it) {
        pending->deliver(it.map(config::change_result_from));
      });
  co_await wait_for<change_outcome>(pending, deadline);
  co_return pending->value;
}

awaitable<std::optional<result<json>>> order_handler::confirm(
    monotonic_time deadline) {
  co_await wait_for_lease(deadline);
  const std::shared_ptr<pending_result<result<json>>> pending =
      std::make_shared<pending_result<result<json>>>(context_.io);
  control_->orders().read(
      [pending](const result<json>& it) { pending->deliver(it); });
  co_await wait_for<result<json>>(pending, deadline);
  co_return pending->value;
}

awaitable<void> order_handler::stream_plan(transport::http_exchange& exchange,
                                           config::plan_ptr plan,
                                           monotonic_time deadline) {
  const std::shared_ptr<pending_result<result<json>>> pending =
      std::make_shared<pending_result<result<json>>>(context_.io);
  control_->orders().read(
      [pending](const result<json>& it) { pending->deliver(it); });
  http_response head = surface_->show_plan(*plan);
  std::string body = std::exchange(head.body, {});
  const std::size_t size = body.size();
  const std::string end = body.substr(size - withheld_bytes);
  body.resize(size - withheld_bytes);
  bool sent = co_await exchange.start_sized_stream(std::move(head), size);
  if (sent) sent = co_await exchange.write_piece(std::move(body));
  co_await wait_for<result<json>>(pending, deadline);
  const bool confirmed = pending->value && *pending->value;
  const bool current = control_->machine().store().plan() == plan;
  if (sent && confirmed && current) {
    co_await exchange.write_piece(end);
    co_await exchange.finish_stream();
  } else {
    exchange.abort();
  }
  log_event(log_level::info, "plan-streamed",
            {{"number", std::to_string(plan->number)},
             {"confirmed", confirmed ? "yes" : "no"},
             {"current", current ? "yes" : "no"},
             {"caller", sent ? "stayed" : "left"}});
}

awaitable<http_response> order_handler::read_plan(monotonic_time deadline) {
  std::optional<result<json>> confirmed = co_await confirm(deadline);
  while (confirmed && !*confirmed && is_transient(confirmed->error()) &&
         context_.clock.now() + retry_delay < deadline) {
    co_await transport::sleep_for(context_.io, retry_delay);
    confirmed = co_await confirm(deadline);
  }
  if (!confirmed) co_return surface_->refuse(unknown_outcome());
  if (!*confirmed) co_return surface_->refuse(confirmed->error());
  const config::plan_ptr plan = control_->machine().store().plan();
  if (plan) co_return surface_->show_plan(*plan);
  const error no_plan{error_kind::unavailable, "there is no plan yet",
                      retry_remedy};
  co_return surface_->refuse(no_plan);
}

}  // namespace trestlepost::node

// HTTP handler for operators' orders: replaces and returns the traffic plan,
// and starts and ends evacuations of availability zones. Every control node
// accepts orders. A follower forwards changes to the leader, and answers reads
// from its own copy once it has applied the log index that the leader reports.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "control_service.h"
#include "node_context.h"
#include "trestlepost/surface/operators_surface.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// The result of a change, or the reason why it was not processed.
using change_outcome = result<config::change_result>;

/// Executes orders through the configuration group.
class order_handler final : public transport::http_handler {
 public:
  order_handler(node_context& context, control_service* control,
                const surface::operators_surface* surface)
      : context_(context), control_(control), surface_(surface) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  /// The answer to send; nullopt if it has been streamed. The call arrived
  /// after the moment `arrived`.
  transport::awaitable<std::optional<transport::http_response>> answer(
      transport::http_exchange& exchange, const std::string& body,
      node_moment arrived);
  /// When an order is given up for want of a result.
  monotonic_time deadline_of(const surface::operator_order& order,
                             monotonic_time arrived) const;
  /// Waits until `deadline` while this node is leader but its lease has lapsed.
  transport::awaitable<void> wait_for_lease(monotonic_time deadline);
  /// Proposes a change until it is decided, retrying transient failures while
  /// its sender waits.
  transport::awaitable<transport::http_response> change(
      const surface::operator_order& order, transport::http_exchange& exchange,
      node_moment arrived, monotonic_time deadline);
  /// Proposes the order once, as given at the moment `arrived`. Returns nullopt
  /// if there is no result by `deadline`.
  transport::awaitable<std::optional<change_outcome>> propose(
      const surface::operator_order& order, transport::http_exchange& exchange,
      node_moment arrived, monotonic_time deadline);
  /// Streams a large plan while the read is being confirmed, and sends the last
  /// bytes after the confirmation. Without a confirmation the answer is
  /// aborted, so that the client sees it as incomplete.
  transport::awaitable<void> stream_plan(transport::http_exchange& exchange,
                                         config::plan_ptr plan,
                                         monotonic_time deadline);
  /// Waits until this node has applied all acknowledged changes. Returns
  /// nullopt if that doesn't happen by `deadline`.
  transport::awaitable<std::optional<result<json>>> confirm(
      monotonic_time deadline);
  transport::awaitable<transport::http_response> read_plan(
      monotonic_time deadline);

  node_context& context_;
  control_service* control_;
  const surface::operators_surface* surface_;
};

}  // namespace trestlepost::node

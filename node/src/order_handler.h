// Operators' orders by the traffic plan's surface: replaces and shows the
// plan, evacuates availability zones. Every control node takes them, and shows
// the plan from its own copy: one that does not lead asks the one that does for
// the decision, or for how far its copy must be.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "control_service.h"
#include "node_context.h"
#include "trestlepost/surface/operators_surface.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// How a change was decided, or why it was not.
using change_outcome = result<config::change_result>;

class order_handler final : public transport::http_handler {
 public:
  order_handler(node_context& context, control_service* control,
                const surface::operators_surface* surface)
      : context_(context), control_(control), surface_(surface) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  /// The answer to send; nothing when it has been streamed.
  transport::awaitable<std::optional<transport::http_answer>> answer(
      transport::http_exchange& exchange, const std::string& body);
  /// Waits while this node leads but is not sure of it.
  transport::awaitable<void> regain_lease(monotonic_time deadline);
  transport::awaitable<transport::http_answer> change(
      surface::operator_order order, monotonic_time deadline);
  /// What became of the order; nothing when that is not known in time.
  transport::awaitable<std::optional<change_outcome>> propose(
      const surface::operator_order& order, monotonic_time deadline);
  /// Sends a large plan while the read is being confirmed, and its end once it
  /// is. Without that the answer stays visibly broken.
  transport::awaitable<void> stream_plan(transport::http_exchange& exchange,
                                         config::plan_ptr plan,
                                         monotonic_time deadline);
  /// Waits until this node has applied all that was acknowledged.
  transport::awaitable<std::optional<result<json>>> confirm(
      monotonic_time deadline);
  transport::awaitable<transport::http_answer> read_plan(
      monotonic_time deadline);

  node_context& context_;
  control_service* control_;
  const surface::operators_surface* surface_;
};

}  // namespace trestlepost::node

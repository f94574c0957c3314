// Operators' orders by the traffic plan's surface: replaces and shows the
// plan, evacuates availability zones. Every control node takes them; one that
// does not lead names the one that does.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "control_service.h"
#include "node_context.h"
#include "trestlepost/surface/operators_surface.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

class order_handler final : public transport::http_handler {
 public:
  order_handler(node_context& context, control_service* control,
                const surface::operators_surface* surface)
      : context_(context), control_(control), surface_(surface) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  transport::awaitable<transport::http_answer> answer(const std::string& method,
                                                      const std::string& target,
                                                      const std::string& body);
  transport::awaitable<transport::http_answer> change(
      const surface::operator_order& order);
  transport::awaitable<transport::http_answer> read_plan();

  node_context& context_;
  control_service* control_;
  const surface::operators_surface* surface_;
};

}  // namespace trestlepost::node

// HTTP handlers for the entry directory and the readiness check, in the formats
// of the surface.
#pragma once

#include "node_context.h"
#include "trestlepost/surface/entry_surface.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// Returns to callers the gateways that they should send requests to.
class directory_handler final : public transport::http_handler {
 public:
  directory_handler(node_context& context,
                    const surface::entry_surface* surface)
      : context_(context), surface_(surface) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  node_context& context_;
  const surface::entry_surface* surface_;
};

/// Reports to the platform whether this node accepts requests.
class readiness_handler final : public transport::http_handler {
 public:
  readiness_handler(node_context& context,
                    const surface::entry_surface* surface)
      : context_(context), surface_(surface) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  node_context& context_;
  const surface::entry_surface* surface_;
};

}  // namespace trestlepost::node

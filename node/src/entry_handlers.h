// The entry directory and the readiness check, by the surface's forms.
#pragma once

#include "node_context.h"
#include "trestlepost/surface/entry_surface.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::node {

/// Tells callers which entries of their region to use.
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

/// Tells the deployment whether this node takes requests.
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

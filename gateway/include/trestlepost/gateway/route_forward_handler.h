// Handles routed requests forwarded by gateways of other regions, and passes
// all other forwarded requests to the next handler.
#pragma once

#include "trestlepost/gateway/caller_authentication.h"
#include "trestlepost/gateway/forward_handler.h"
#include "trestlepost/gateway/route_message.h"
#include "trestlepost/gateway/route_service.h"
#include "trestlepost/routing/route_table.h"

namespace trestlepost::gateway {

class route_forward_handler final : public transport::http_handler {
 public:
  route_forward_handler(gateway_context& context, route_service& service,
                        const routing::route_table& routes,
                        const caller_authentication& callers,
                        transport::http_handler& next)
      : context_(context),
        service_(service),
        routes_(routes),
        callers_(callers),
        next_(next) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  /// Verifies and parses the message at the front of `body` and removes it.
  result<route_message> read_message(const transport::http_exchange& exchange,
                                     std::string& body) const;
  /// Finds the route of the request and checks that this node may serve it.
  result<routed_request> accept(route_message message,
                                transport::request_body body,
                                const request_times& times) const;

  gateway_context& context_;
  route_service& service_;
  const routing::route_table& routes_;
  const caller_authentication& callers_;
  transport::http_handler& next_;
};

}  // namespace trestlepost::gateway

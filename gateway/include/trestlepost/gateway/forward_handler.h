// Handles model and service calls forwarded by gateways of other regions.
#pragma once

#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/forward_message.h"
#include "trestlepost/gateway/local_service.h"

namespace trestlepost::gateway {

class forward_handler final : public transport::http_handler {
 public:
  forward_handler(gateway_context& context, local_service& service)
      : context_(context), service_(service) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

 private:
  /// Verifies the digest and the age of a forwarded request.
  result<forward_message> check(const transport::http_exchange& exchange,
                                const std::string& body) const;
  /// Resolves the caller and the service, and checks that this node can serve
  /// the request with an up-to-date configuration.
  result<incoming_request> accept(const forward_message& message,
                                  transport::request_body body) const;

  gateway_context& context_;
  local_service& service_;
};

}  // namespace trestlepost::gateway

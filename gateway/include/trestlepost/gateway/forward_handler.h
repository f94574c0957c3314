// Takes requests that gateways of other regions forward.
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
  result<forward_message> check(const transport::http_exchange& exchange,
                                const std::string& body) const;
  result<incoming_request> accept(const forward_message& message,
                                  std::string body) const;

  gateway_context& context_;
  local_service& service_;
};

}  // namespace trestlepost::gateway

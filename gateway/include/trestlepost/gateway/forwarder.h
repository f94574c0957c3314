// Forwards a model or service call to a gateway of another permitted region.
#pragma once

#include <set>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/request.h"

namespace trestlepost::gateway {

class forwarder {
 public:
  explicit forwarder(gateway_context& context) : context_(context) {}

  /// Makes one attempt in `region`.
  transport::awaitable<attempt> serve(const incoming_request& request,
                                      const std::string& region,
                                      std::set<std::string> avoid,
                                      transport::http_exchange& exchange);

 private:
  gateway_context& context_;
};

}  // namespace trestlepost::gateway

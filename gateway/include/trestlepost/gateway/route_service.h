// Serves routed requests on endpoints of the own region, or refuses. It knows
// no other region: nothing that comes through here can travel on.
#pragma once

#include "trestlepost/gateway/endpoint_runner.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::gateway {

class route_service {
 public:
  route_service(gateway_context& context, const surface::surfaces& surfaces,
                endpoint_pool& pool, routing::retry_budget_options retries)
      : context_(context),
        pool_(pool),
        runner_(context, surfaces, pool),
        retry_options_(retries) {}

  /// Runs `request` at one endpoint after the other, as its route allows.
  transport::awaitable<attempt> serve(routed_request& request,
                                      transport::http_exchange& exchange);

  /// Takes a retry of `service` out of the budget; false when none is left.
  bool take_retry(const std::string& service);

  endpoint_pool& pool() { return pool_; }

 private:
  bool may_retry(const routed_request& request, const attempt& last,
                 unsigned sent);

  gateway_context& context_;
  endpoint_pool& pool_;
  endpoint_runner runner_;
  routing::retry_budget_options retry_options_;
  std::map<std::string, routing::retry_budget> retries_;  // by service
};

}  // namespace trestlepost::gateway

// Handles callers' requests that are routed by the traffic plan.
#pragma once

#include <set>
#include <string>

#include "trestlepost/gateway/caller_authentication.h"
#include "trestlepost/gateway/route_forwarder.h"
#include "trestlepost/gateway/route_regions.h"
#include "trestlepost/gateway/route_service.h"
#include "trestlepost/routing/route_table.h"
#include "trestlepost/usage/usage_limiter.h"

namespace trestlepost::gateway {

class route_handler final : public transport::http_handler {
 public:
  route_handler(gateway_context& context, const surface::surfaces& surfaces,
                route_service& local, const routing::route_table& routes,
                const caller_authentication& callers,
                usage::usage_limiter& limits)
      : context_(context),
        surfaces_(surfaces),
        local_(local),
        remote_(context, surfaces),
        routes_(routes),
        callers_(callers),
        limits_(limits) {}

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

  /// Refuses new requests from now on. Requests in progress are completed.
  void stop_accepting() { accepting_ = false; }

 private:
  /// Assigns the request to a route and a service.
  result<routed_request> route(surface::call_head head,
                               transport::shared_text body,
                               const request_times& times) const;
  /// Returns whether a request may go on waiting for what a recently started
  /// node lacks.
  bool may_wait(const transport::http_exchange& exchange) const;
  /// Waits briefly for state that a recently started node has not received yet.
  /// Returns false immediately if there is no reason to wait.
  transport::awaitable<bool> wait_for_startup(
      monotonic_time read_at, transport::http_exchange& exchange);
  /// Tries one region after another until an attempt succeeds or no further
  /// one is permitted.
  transport::awaitable<attempt> run(routed_request& request,
                                    transport::http_exchange& exchange);
  /// Records in `tried` that the attempt `last` was made as `chosen`.
  void record_tried(tried_regions& tried, const region_decision& chosen,
                    const attempt& last) const;
  /// Returns whether another region may be tried after `last`.
  bool may_try_other_region(routed_request& request, const attempt& last) const;
  /// Records that the organisation of the request asks for usage, and waits
  /// while a recently started node does not know yet whether its limit allows
  /// it. Returns whether it has waited.
  transport::awaitable<bool> wait_for_usage(const routed_request& request,
                                            transport::http_exchange& exchange);
  /// Counts the request towards the limit of its organisation. Returns the
  /// refusal if it does not fit.
  std::optional<attempt> check_limit(const routed_request& request);
  /// Counts and logs a request whose caller had disconnected before it was
  /// read.
  void record_abandoned(const std::string& request_id);
  /// Handles a request whose head and body were read.
  transport::awaitable<void> answer(surface::call_head head,
                                    transport::shared_text body,
                                    request_times times,
                                    transport::http_exchange& exchange);
  /// Logs and sends a refusal of a request that was not tried anywhere.
  transport::awaitable<void> refuse_untried(const attempt& refused,
                                            const std::string& request_id,
                                            const std::string& organisation,
                                            transport::http_exchange& exchange);
  /// Returns the amount of a request that did not run to its organisation.
  void return_unused_amount(const routed_request& request,
                            const attempt& outcome);
  transport::awaitable<void> refuse(const attempt& outcome,
                                    const std::string& request_id,
                                    transport::http_exchange& exchange);
  /// Counts and logs the outcome of a request.
  void record(const routed_request& request, const attempt& outcome);

  gateway_context& context_;
  const surface::surfaces& surfaces_;
  route_service& local_;
  route_forwarder remote_;
  const routing::route_table& routes_;
  const caller_authentication& callers_;
  usage::usage_limiter& limits_;
  bool accepting_ = true;
};

}  // namespace trestlepost::gateway

// The retry budgets of a gateway, one for each service. Reports regularly how
// much of them was used.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trestlepost/gateway/context.h"
#include "trestlepost/routing/charged_sends.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::gateway {

class retry_budgets {
 public:
  retry_budgets(gateway_context& context,
                const routing::shared_retry_limits& limits)
      : context_(context), limits_(limits) {}

  /// Records a caller's request, which adds a fraction of a retry.
  void record_request(const std::string& service);
  /// Charges the next send of a request unless it is already paid for. Returns
  /// false if the budget is exhausted.
  bool charge_next(const std::string& service, routing::charged_sends& sends);
  /// Returns a charge that was not used, when the request has ended.
  void refund_unused(const std::string& service, routing::charged_sends& sends);
  /// Records that this gateway sent a request to an endpoint after the request
  /// had already reached one. Whether that was charged, here or by the gateway
  /// that forwarded the request, does not matter.
  void record_repeat(const std::string& service);
  /// Adjusts this gateway's share to the number of known gateways, and logs
  /// regularly what was used since the last report.
  void tick();

 private:
  struct service_budget {
    routing::shared_retry_budget budget;
    // Since the last report.
    std::uint64_t requests = 0;
    std::uint64_t charged = 0;
    std::uint64_t denied = 0;
    std::uint64_t repeats = 0;
  };

  service_budget& budget_of(const std::string& service);
  /// Logs what was used of the budget, if anything, and resets the counts.
  void report(const std::string& service, service_budget& used) const;

  gateway_context& context_;
  const routing::shared_retry_limits& limits_;
  std::map<std::string, service_budget> budgets_;  // by service
  monotonic_time reported_at_{};
};

}  // namespace trestlepost::gateway

#include "trestlepost/gateway/retry_budgets.h"

#include "trestlepost/base/log.h"

namespace trestlepost::gateway {
namespace {

constexpr std::chrono::seconds report_interval{10};

}  // namespace

retry_budgets::service_budget& retry_budgets::budget_of(
    const std::string& service) {
  const auto known = budgets_.find(service);
  if (known != budgets_.end()) return known->second;
  service_budget fresh{routing::shared_retry_budget(limits_)};
  fresh.budget.set_limits(limits_, context_.nodes.gateway_count());
  return budgets_.emplace(service, fresh).first->second;
}

void retry_budgets::record_request(const std::string& service) {
  service_budget& it = budget_of(service);
  it.budget.add_request(context_.clock.now());
  ++it.requests;
}

bool retry_budgets::charge_next(const std::string& service,
                                routing::charged_sends& sends) {
  service_budget& it = budget_of(service);
  if (sends.is_next_paid()) return true;
  if (!sends.charge_next(it.budget.at(context_.clock.now()))) {
    ++it.denied;
    context_.metrics.retry_denied(service);
    return false;
  }
  ++it.charged;
  return true;
}

void retry_budgets::refund_unused(const std::string& service,
                                  routing::charged_sends& sends) {
  sends.refund_unused(budget_of(service).budget.at(context_.clock.now()));
}

void retry_budgets::record_repeat(const std::string& service) {
  ++budget_of(service).repeats;
}

void retry_budgets::tick() {
  const std::size_t gateways = context_.nodes.gateway_count();
  for (auto& [service, it] : budgets_) it.budget.set_limits(limits_, gateways);
  const monotonic_time now = context_.clock.now();
  if (now < reported_at_ + report_interval) return;
  reported_at_ = now;
  for (auto& [service, it] : budgets_) report(service, it);
}

void retry_budgets::report(const std::string& service,
                           service_budget& used) const {
  if (used.charged + used.denied + used.repeats > 0) {
    log_event(used.denied > 0 ? log_level::warn : log_level::info,
              "retry-budget-used",
              {{"service", service},
               {"requests", std::to_string(used.requests)},
               {"charged", std::to_string(used.charged)},
               {"denied", std::to_string(used.denied)},
               {"repeats", std::to_string(used.repeats)},
               {"saved", std::to_string(used.budget.saved())},
               {"gateways", std::to_string(context_.nodes.gateway_count())}});
  }
  used.requests = used.charged = used.denied = used.repeats = 0;
}

}  // namespace trestlepost::gateway

#include "trestlepost/membership/endpoint_reachability.h"

#include <algorithm>

namespace trestlepost::membership {
namespace {

// So many endpoints do not fail at once by themselves.
constexpr std::size_t max_independent_failures = 2;

}  // namespace

void endpoint_reachability::record_reached(const std::string& service,
                                           monotonic_time now) {
  failures_.erase(service);
  reached_at_[service] = now;
}

void endpoint_reachability::record_unreached(const std::string& service,
                                             const std::string& endpoint,
                                             monotonic_time now) {
  failures& it = failures_[service];
  if (it.endpoints.empty()) it.first_at = now;
  it.endpoints.insert(endpoint);
}

void endpoint_reachability::record_unanswered(const std::string& service,
                                              const std::string& endpoint,
                                              monotonic_time sent_at,
                                              monotonic_time now) {
  const auto reached = reached_at_.find(service);
  const bool answered_since =
      reached != reached_at_.end() && reached->second >= sent_at;
  if (!answered_since) record_unreached(service, endpoint, now);
}

void endpoint_reachability::retain(const std::set<std::string>& names,
                                   const std::set<std::string>& services) {
  for (auto& [service, it] : failures_) {
    std::erase_if(it.endpoints, [&names](const std::string& endpoint) {
      return !names.contains(endpoint);
    });
  }
  std::erase_if(failures_,
                [](const auto& it) { return it.second.endpoints.empty(); });
  std::erase_if(reached_at_, [&services](const auto& it) {
    return !services.contains(it.first);
  });
}

std::set<std::string> endpoint_reachability::failing_services() const {
  std::set<std::string> out;
  for (const auto& [service, it] : failures_) out.insert(service);
  return out;
}

std::optional<monotonic_time> endpoint_reachability::unreachable_since(
    const std::string& service, std::size_t endpoints) const {
  const auto found = failures_.find(service);
  if (found == failures_.end() || endpoints == 0) return std::nullopt;
  const std::size_t needed = std::min(endpoints, max_independent_failures + 1);
  if (found->second.endpoints.size() < needed) return std::nullopt;
  return found->second.first_at;
}

}  // namespace trestlepost::membership

// Endpoints of other regions as sources of cached prompt sections.
#include "trestlepost/gateway/remote_caches.h"

#include <utility>

#include "trestlepost/gateway/preferred_endpoint.h"

namespace trestlepost::gateway {

void remote_caches::add(const std::string& service, const std::string& region,
                        endpoint added) {
  regions_[service][region].push_back(std::move(added));
}

std::string remote_caches::likely_source(
    const std::string& service, const membership::prompt_section& section,
    const region_filter& permits) const {
  const auto known = regions_.find(service);
  if (known == regions_.end()) return {};
  const endpoints* largest = nullptr;
  for (const auto& [region, all] : known->second) {
    if (!permits(region)) continue;
    if (largest == nullptr || all.size() > largest->size()) largest = &all;
  }
  if (largest == nullptr) return {};
  const endpoint* best = preferred_for(
      *largest, section,
      [](const endpoint& it) -> const std::string& { return it.id; });
  return best == nullptr ? std::string() : best->address;
}

}  // namespace trestlepost::gateway

#include "trestlepost/gateway/remote_caches.h"

#include <cstdint>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/gateway/routed_request.h"

namespace trestlepost::gateway {

std::string section_key(const membership::prompt_section& section) {
  return std::to_string(section.id);
}

void remote_caches::add(const std::string& service, const std::string& region,
                        endpoint added) {
  regions_[service][region].push_back(std::move(added));
}

std::string remote_caches::likely_holder(
    const std::string& service, const membership::prompt_section& section,
    const config::route& route) const {
  const auto known = regions_.find(service);
  if (known == regions_.end()) return {};
  const endpoints* largest = nullptr;
  for (const auto& [region, all] : known->second) {
    if (!permits_region(route, region)) continue;
    if (largest == nullptr || all.size() > largest->size()) largest = &all;
  }
  if (largest == nullptr) return {};
  const std::string key = section_key(section);
  const endpoint* best = nullptr;
  std::uint64_t best_score = 0;
  for (const endpoint& it : *largest) {
    const std::uint64_t score = rendezvous_score(key, it.id);
    if (best != nullptr && score <= best_score) continue;
    best = &it;
    best_score = score;
  }
  return best == nullptr ? std::string() : best->address;
}

}  // namespace trestlepost::gateway

#include "trestlepost/gateway/part_history.h"

#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {
namespace {

// When the recent generation has so many parts, it replaces the older one.
constexpr std::size_t max_generation = 4096;

std::uint64_t key_of(const std::string& service,
                     const std::string& organisation, std::uint64_t part) {
  return hash64(service, hash64(organisation, part));
}

}  // namespace

void part_history::record(const std::string& service,
                          const std::string& organisation, std::uint64_t part,
                          monotonic_time at) {
  recent_[key_of(service, organisation, part)] = at;
  if (recent_.size() < max_generation) return;
  older_ = std::exchange(recent_, generation());
}

std::optional<monotonic_time> part_history::last(
    const std::string& service, const std::string& organisation,
    std::uint64_t part) const {
  const std::uint64_t key = key_of(service, organisation, part);
  for (const generation* it : {&recent_, &older_}) {
    const auto found = it->find(key);
    if (found != it->end()) return found->second;
  }
  return std::nullopt;
}

}  // namespace trestlepost::gateway

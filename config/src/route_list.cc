#include "trestlepost/config/route_list.h"

#include <functional>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace trestlepost::config {
namespace {

// Number of values per route in "at": index, name, host and path prefix.
constexpr Json::ArrayIndex values_per_route = 4;

template <typename T>
void combine(std::size_t& seed, const T& value) {
  constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15U;
  seed ^= std::hash<T>()(value) + golden_ratio + (seed << 6U) + (seed >> 2U);
}

/// Hash of all fields except name, host and path prefix.
std::size_t hash_of_terms(const route& it) {
  std::size_t out = 0;
  combine(out, it.kind);
  combine(out, it.timeout.count());
  combine(out, it.latency_objective.count());
  combine(out, it.longest_pause.count());
  combine(out, it.priority);
  combine(out, it.attempts);
  combine(out, it.prefix_affinity);
  combine(out, it.resumable);
  for (const weighted_service& one : it.split) {
    combine(out, one.service);
    combine(out, one.weight);
  }
  for (const std::string& home : it.home_regions) combine(out, home);
  return out;
}

/// Whether two routes differ only in name, host and path prefix.
bool same_terms(const route& a, const route& b) {
  return a.kind == b.kind && a.timeout == b.timeout &&
         a.latency_objective == b.latency_objective &&
         a.longest_pause == b.longest_pause && a.priority == b.priority &&
         a.attempts == b.attempts && a.prefix_affinity == b.prefix_affinity &&
         a.resumable == b.resumable && a.split == b.split &&
         a.home_regions == b.home_regions;
}

/// Assigns one index to all routes with the same settings.
class route_terms {
 public:
  Json::UInt number_of(const route& it) {
    const std::size_t hash = hash_of_terms(it);
    const auto [first, last] = numbers_.equal_range(hash);
    for (auto at = first; at != last; ++at) {
      if (same_terms(*all_[at->second], it)) return at->second;
    }
    const Json::UInt out = static_cast<Json::UInt>(all_.size());
    all_.push_back(&it);
    numbers_.emplace(hash, out);
    return out;
  }

  json to_list() const {
    json out(Json::arrayValue);
    for (const route* it : all_) {
      json one = config::to_json(*it);
      for (const char* key : {"name", "host", "path_prefix"}) {
        one.removeMember(key);
      }
      out.append(std::move(one));
    }
    return out;
  }

 private:
  std::vector<const route*> all_;
  std::unordered_multimap<std::size_t, Json::UInt> numbers_;
};

}  // namespace

json to_json(const std::vector<route>& value) {
  route_terms terms;
  json at(Json::arrayValue);
  for (const route& it : value) {
    at.append(terms.number_of(it));
    at.append(it.name);
    at.append(it.host);
    at.append(it.path_prefix);
  }
  json out;
  out["like"] = terms.to_list();
  out["at"] = std::move(at);
  return out;
}

std::vector<route> routes_from(const json& value) {
  std::vector<route> out;
  if (value.isArray()) {
    for (const json& it : value) out.push_back(route_from(it));
    return out;
  }
  std::vector<route> terms;
  for (const json& it : member_of(value, "like")) {
    terms.push_back(route_from(it));
  }
  const json& at = member_of(value, "at");
  if (!at.isArray()) return out;
  out.reserve(at.size() / values_per_route);
  for (Json::ArrayIndex i = 0; i + values_per_route <= at.size();
       i += values_per_route) {
    const bool sound = at[i].isUInt() && at[i].asUInt() < terms.size() &&
                       at[i + 1].isString() && at[i + 2].isString() &&
                       at[i + 3].isString();
    if (!sound) continue;
    route& one = out.emplace_back(terms[at[i].asUInt()]);
    one.name = at[i + 1].asString();
    one.host = at[i + 2].asString();
    one.path_prefix = at[i + 3].asString();
  }
  return out;
}

}  // namespace trestlepost::config

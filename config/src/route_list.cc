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
void hash_combine(std::size_t& seed, const T& value) {
  constexpr std::size_t golden_ratio = 0x9e3779b97f4a7c15U;
  seed ^= std::hash<T>()(value) + golden_ratio + (seed << 6U) + (seed >> 2U);
}

/// Hash of all fields except name, host and path prefix.
std::size_t hash_of_settings(const route& it) {
  std::size_t out = 0;
  hash_combine(out, it.kind);
  hash_combine(out, it.timeout.count());
  hash_combine(out, it.latency_objective.count());
  hash_combine(out, it.longest_pause.count());
  hash_combine(out, it.priority);
  hash_combine(out, it.attempts);
  hash_combine(out, it.prefix_affinity);
  hash_combine(out, it.resumable);
  hash_combine(out, it.open_to_all);
  for (const weighted_service& one : it.split) {
    hash_combine(out, one.service);
    hash_combine(out, one.weight);
  }
  for (const std::string& home : it.home_regions) hash_combine(out, home);
  return out;
}

/// Whether two routes differ only in name, host and path prefix.
bool same_settings(const route& a, const route& b) {
  return a.kind == b.kind && a.timeout == b.timeout &&
         a.latency_objective == b.latency_objective &&
         a.longest_pause == b.longest_pause && a.priority == b.priority &&
         a.attempts == b.attempts && a.prefix_affinity == b.prefix_affinity &&
         a.resumable == b.resumable && a.open_to_all == b.open_to_all &&
         a.split == b.split && a.home_regions == b.home_regions;
}

/// Assigns one index to all routes with the same settings.
class route_settings_table {
 public:
  Json::UInt index_of(const route& it) {
    const std::size_t hash = hash_of_settings(it);
    const auto [first, last] = indices_.equal_range(hash);
    for (auto at = first; at != last; ++at) {
      if (same_settings(*distinct_[at->second], it)) return at->second;
    }
    const Json::UInt out = static_cast<Json::UInt>(distinct_.size());
    distinct_.push_back(&it);
    indices_.emplace(hash, out);
    return out;
  }

  json settings_json() const {
    json out(Json::arrayValue);
    for (const route* it : distinct_) {
      json one = config::to_json(*it);
      for (const char* key : {"name", "host", "path_prefix"}) {
        one.removeMember(key);
      }
      out.append(std::move(one));
    }
    return out;
  }

 private:
  std::vector<const route*> distinct_;
  std::unordered_multimap<std::size_t, Json::UInt> indices_;
};

}  // namespace

json to_json(const std::vector<route>& value) {
  route_settings_table settings;
  json at(Json::arrayValue);
  for (const route& it : value) {
    at.append(settings.index_of(it));
    at.append(it.name);
    at.append(it.host);
    at.append(it.path_prefix);
  }
  json out;
  out["like"] = settings.settings_json();
  out["at"] = std::move(at);
  return out;
}

std::vector<route> routes_from(const json& value) {
  std::vector<route> out;
  if (value.isArray()) {
    for (const json& it : value) out.push_back(route_from(it));
    return out;
  }
  std::vector<route> settings;
  for (const json& it : member_of(value, "like")) {
    settings.push_back(route_from(it));
  }
  const json& at = member_of(value, "at");
  if (!at.isArray()) return out;
  out.reserve(at.size() / values_per_route);
  for (Json::ArrayIndex i = 0; i + values_per_route <= at.size();
       i += values_per_route) {
    const bool valid = at[i].isUInt() && at[i].asUInt() < settings.size() &&
                       at[i + 1].isString() && at[i + 2].isString() &&
                       at[i + 3].isString();
    if (!valid) continue;
    route& one = out.emplace_back(settings[at[i].asUInt()]);
    one.name = at[i + 1].asString();
    one.host = at[i + 2].asString();
    one.path_prefix = at[i + 3].asString();
  }
  return out;
}

}  // namespace trestlepost::config

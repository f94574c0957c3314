#include "trestlepost/config/plan_delta.h"

#include <map>
#include <set>
#include <utility>

#include "trestlepost/config/route_list.h"

namespace trestlepost::config {
namespace {

using routes_by_place = std::map<route_place, const route*>;

route_place place_of(const route& it) {
  return {it.host, it.path_prefix};
}

routes_by_place by_place(const std::vector<route>& routes) {
  routes_by_place out;
  for (const route& it : routes) out.emplace(place_of(it), &it);
  return out;
}

json to_json(const route_place& value) {
  json out;
  out["host"] = value.host;
  out["path_prefix"] = value.path_prefix;
  return out;
}

route_place route_place_from(const json& value) {
  return {text_of(value, "host"), text_of(value, "path_prefix")};
}

}  // namespace

plan_delta delta_between(const traffic_plan* before,
                         const traffic_plan& after) {
  const traffic_plan none;
  const traffic_plan& old = before == nullptr ? none : *before;
  plan_delta out;
  out.number = after.number;
  routes_by_place left = by_place(old.routes);
  for (const route& it : after.routes) {
    const auto same = left.find(place_of(it));
    if (same == left.end() || *same->second != it) out.written.push_back(it);
    if (same != left.end()) left.erase(same);
  }
  for (const auto& [place, it] : left) out.removed.push_back(place);
  if (old.services != after.services) out.services = after.services;
  if (old.limits != after.limits) out.limits = after.limits;
  return out;
}

traffic_plan apply_delta(const traffic_plan* before, const plan_delta& delta) {
  traffic_plan out;
  out.number = delta.number;
  routes_by_place written = by_place(delta.written);
  const std::set<route_place> removed(delta.removed.begin(),
                                      delta.removed.end());
  if (before != nullptr) {
    out.routes.reserve(before->routes.size() + delta.written.size());
    out.services = before->services;
    out.limits = before->limits;
    for (const route& it : before->routes) {
      const route_place place = place_of(it);
      if (removed.contains(place)) continue;
      const auto changed = written.find(place);
      const bool stays = changed == written.end();
      out.routes.push_back(stays ? it : *changed->second);
      if (!stays) written.erase(changed);
    }
  }
  for (const route& it : delta.written) {
    if (written.contains(place_of(it))) out.routes.push_back(it);
  }
  if (delta.services) out.services = *delta.services;
  if (delta.limits) out.limits = *delta.limits;
  return out;
}

json to_json(const plan_delta& value) {
  json out;
  out["number"] = as_number(value.number);
  out["written"] = config::to_json(value.written);
  json& removed = out["removed"] = json(Json::arrayValue);
  for (const route_place& it : value.removed) removed.append(to_json(it));
  if (value.services) out["services"] = to_json(*value.services);
  if (value.limits) out["limits"] = to_json(*value.limits);
  return out;
}

result<plan_delta> plan_delta_from(const json& value) {
  plan_delta out;
  out.number = number_of(value, "number");
  if (out.number == 0) {
    return fail(error_kind::bad_input,
                "a change of the traffic plan has no number",
                "run one version of trestlepostd on all nodes");
  }
  out.written = routes_from(member_of(value, "written"));
  for (const json& it : member_of(value, "removed")) {
    out.removed.push_back(route_place_from(it));
  }
  const json& services = member_of(value, "services");
  if (services.isArray()) out.services = services_from(services);
  const json& limits = member_of(value, "limits");
  if (limits.isObject()) out.limits = limits_from(limits);
  return out;
}

}  // namespace trestlepost::config

#include "trestlepost/config/plan_delta.h"

#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "trestlepost/config/route_list.h"

namespace trestlepost::config {
namespace {

using routes_by_key = std::map<route_key, const route*>;

route_key key_of(const route& it) {
  return {it.host, it.path_prefix};
}

routes_by_key index_by_key(const std::vector<route>& routes) {
  routes_by_key out;
  for (const route& it : routes) out.emplace(key_of(it), &it);
  return out;
}

json to_json(const route_key& value) {
  json out;
  out["host"] = value.host;
  out["path_prefix"] = value.path_prefix;
  return out;
}

route_key route_key_from(const json& value) {
  return {text_of(value, "host"), text_of(value, "path_prefix")};
}

organisation_list apply_organisation_changes(const organisation_list& before,
                                             const plan_delta& delta) {
  const bool unchanged = delta.written_organisations.empty() &&
                         delta.removed_organisations.empty();
  if (unchanged) return before;
  std::set<std::string_view> replaced(delta.removed_organisations.begin(),
                                      delta.removed_organisations.end());
  for (const organisation_ptr& it : delta.written_organisations) {
    replaced.insert(it->name);
  }
  organisation_list out;
  out.reserve(before.size() + delta.written_organisations.size());
  for (const organisation_ptr& it : before) {
    if (!replaced.contains(it->name)) out.push_back(it);
  }
  out.insert(out.end(), delta.written_organisations.begin(),
             delta.written_organisations.end());
  sort_by_name(out);
  return out;
}

}  // namespace

plan_delta make_plan_delta(const traffic_plan* before,
                           const traffic_plan& after) {
  const traffic_plan none;
  const traffic_plan& old = before == nullptr ? none : *before;
  plan_delta out;
  out.number = after.number;
  routes_by_key rest = index_by_key(old.routes);
  for (const route& it : after.routes) {
    const auto same = rest.find(key_of(it));
    if (same == rest.end() || *same->second != it) out.written.push_back(it);
    if (same != rest.end()) rest.erase(same);
  }
  for (const auto& [key, it] : rest) out.removed.push_back(key);
  if (old.services != after.services) out.services = after.services;
  if (old.limits != after.limits) out.limits = after.limits;
  if (old.requires_key != after.requires_key) {
    out.requires_key = after.requires_key;
  }
  visit_changes(
      old.organisations, after.organisations,
      [&out](const organisation_ptr& was, const organisation_ptr& is) {
        if (!is) {
          out.removed_organisations.push_back(was->name);
        } else if (!was || *was != *is) {
          out.written_organisations.push_back(is);
        }
      });
  return out;
}

traffic_plan apply_plan_delta(const traffic_plan* before,
                              const plan_delta& delta) {
  traffic_plan out;
  out.number = delta.number;
  routes_by_key written = index_by_key(delta.written);
  const std::set<route_key> removed(delta.removed.begin(), delta.removed.end());
  if (before != nullptr) {
    out.routes.reserve(before->routes.size() + delta.written.size());
    out.services = before->services;
    out.limits = before->limits;
    out.requires_key = before->requires_key;
    for (const route& it : before->routes) {
      const route_key key = key_of(it);
      if (removed.contains(key)) continue;
      const auto changed = written.find(key);
      const bool stays = changed == written.end();
      out.routes.push_back(stays ? it : *changed->second);
      if (!stays) written.erase(changed);
    }
  }
  for (const route& it : delta.written) {
    if (written.contains(key_of(it))) out.routes.push_back(it);
  }
  if (delta.services) out.services = *delta.services;
  if (delta.limits) out.limits = *delta.limits;
  if (delta.requires_key) out.requires_key = *delta.requires_key;
  const organisation_list none;
  out.organisations = apply_organisation_changes(
      before == nullptr ? none : before->organisations, delta);
  return out;
}

json to_json(const plan_delta& value) {
  json out;
  out["number"] = as_number(value.number);
  out["written"] = config::to_json(value.written);
  json& removed = out["removed"] = json(Json::arrayValue);
  for (const route_key& it : value.removed) removed.append(to_json(it));
  if (value.services) out["services"] = to_json(*value.services);
  if (value.limits) out["limits"] = to_json(*value.limits);
  if (value.requires_key) out["requires_key"] = *value.requires_key;
  if (!value.written_organisations.empty()) {
    out["written_organisations"] = to_json(value.written_organisations);
  }
  for (const std::string& it : value.removed_organisations) {
    out["removed_organisations"].append(it);
  }
  return out;
}

result<plan_delta> plan_delta_from(const json& value) {
  plan_delta out;
  out.number = number_of(value, "number");
  if (out.number == 0) {
    return fail(error_kind::bad_input, "a change of the plan has no number",
                "run one version of trestlepostd on all nodes");
  }
  out.written = routes_from(member_of(value, "written"));
  for (const json& it : member_of(value, "removed")) {
    out.removed.push_back(route_key_from(it));
  }
  const json& services = member_of(value, "services");
  if (services.isArray()) out.services = services_from(services);
  const json& limits = member_of(value, "limits");
  if (limits.isObject()) out.limits = limits_from(limits);
  const json& requires_key = member_of(value, "requires_key");
  if (requires_key.isBool()) out.requires_key = requires_key.asBool();
  out.written_organisations =
      organisations_from(member_of(value, "written_organisations"));
  out.removed_organisations = texts_of(value, "removed_organisations");
  return out;
}

}  // namespace trestlepost::config

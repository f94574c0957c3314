#include "trestlepost/config/store.h"

#include <algorithm>
#include <utility>

namespace trestlepost::config {
namespace {

template <typename T>
void replace(object_map<T>& objects, const std::string& name, T value) {
  objects[name] = std::make_shared<const T>(std::move(value));
}

template <typename T>
bool any_matches(const object_map<T>& objects, const selector& conditions) {
  return std::any_of(
      objects.begin(), objects.end(),
      [&conditions](const typename object_map<T>::value_type& it) {
        return matches(conditions, it.second->labels);
      });
}

}  // namespace

json to_json(const edit& value) {
  json out;
  out["kind"] = std::string(to_string(value.kind));
  out["name"] = value.name;
  out["spec"] = value.spec;
  if (value.base) out["base"] = json(Json::UInt64(*value.base));
  return out;
}

result<edit> edit_from(const json& value) {
  const result<object_kind> kind = object_kind_from(text_of(value, "kind"));
  if (!kind) return tl::make_unexpected(kind.error());
  edit out;
  out.kind = *kind;
  out.name = text_of(value, "name");
  out.spec = member_of(value, "spec");
  const json& base = member_of(value, "base");
  if (base.isUInt64()) out.base = base.asUInt64();
  if (out.name.empty()) {
    return fail(error_kind::bad_input, "an edit names no object",
                "give every object a \"name\"");
  }
  return out;
}

json stored_spec::spec() const {
  const result<json> parsed = parse_json(text);
  return parsed ? *parsed : json();
}

json replaced_spec::spec() const {
  const result<json> parsed = parse_json(text);
  return parsed ? *parsed : json();
}

std::shared_ptr<const service> object_store::find_service(
    std::string_view name) const {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

std::shared_ptr<const caller> object_store::find_caller(
    std::string_view name) const {
  const auto it = callers_.find(name);
  return it == callers_.end() ? nullptr : it->second;
}

std::shared_ptr<const caller> object_store::find_caller_by_token(
    const std::string& sha256) const {
  const auto it = caller_by_token_.find(sha256);
  return it == caller_by_token_.end() ? nullptr : find_caller(it->second);
}

const std::map<std::string, stored_spec>& object_store::specs(
    object_kind kind) const {
  static const std::map<std::string, stored_spec> none;
  const auto it = specs_.find(kind);
  return it == specs_.end() ? none : it->second;
}

const stored_spec* object_store::find_spec(object_kind kind,
                                           const std::string& name) const {
  const std::map<std::string, stored_spec>& all = specs(kind);
  const auto it = all.find(name);
  return it == all.end() ? nullptr : &it->second;
}

void object_store::put(const edit& change, revision_number revision,
                       problem_list& problems) {
  const bool removed = change.spec.isNull();
  const std::size_t before = problems.items().size();
  if (!removed && text_of(change.spec, "name") != change.name) {
    problems.add(change.spec, change.name, "the specification has another name",
                 "use one name for the object and its specification");
    return;
  }
  const auto no_new_problems = [&problems, before] {
    return problems.items().size() == before;
  };
  switch (change.kind) {
    case object_kind::region: {
      if (removed) {
        regions_.erase(change.name);
        break;
      }
      region value = read_region(change.spec, problems);
      if (no_new_problems()) replace(regions_, change.name, std::move(value));
      break;
    }
    case object_kind::service: {
      if (removed) {
        services_.erase(change.name);
        break;
      }
      service value = read_service(change.spec, problems);
      if (value.key_window > max_key_window) {
        problems.add(change.spec, "service.key_window",
                     "the window is longer than 24 h", "write 24 h at most");
      }
      if (no_new_problems()) replace(services_, change.name, std::move(value));
      break;
    }
    case object_kind::endpoint: {
      if (removed) {
        endpoints_.erase(change.name);
        break;
      }
      endpoint value = read_endpoint(change.spec, problems);
      if (no_new_problems()) replace(endpoints_, change.name, std::move(value));
      break;
    }
    case object_kind::placement_rule: {
      if (removed) {
        rules_.erase(change.name);
        break;
      }
      placement_rule value = read_placement_rule(change.spec, problems);
      if (no_new_problems()) replace(rules_, change.name, std::move(value));
      break;
    }
    case object_kind::caller: {
      const std::shared_ptr<const caller> old = find_caller(change.name);
      if (removed) {
        if (old) caller_by_token_.erase(old->token_sha256);
        callers_.erase(change.name);
        break;
      }
      caller value = read_caller(change.spec, problems);
      const auto owner = caller_by_token_.find(value.token_sha256);
      if (owner != caller_by_token_.end() && owner->second != change.name) {
        problems.add(change.spec, "caller.token_sha256",
                     "caller " + owner->second + " has the same token",
                     "give each caller a token of its own");
      }
      if (!no_new_problems()) break;
      if (old) caller_by_token_.erase(old->token_sha256);
      caller_by_token_[value.token_sha256] = change.name;
      replace(callers_, change.name, std::move(value));
      break;
    }
  }
  if (!no_new_problems()) return;
  if (removed) {
    specs_[change.kind].erase(change.name);
  } else {
    specs_[change.kind][change.name] = {to_text(change.spec), revision};
  }
}

void object_store::record_replaced(const edit& change, wall_time at) {
  while (!replaced_specs_.empty() &&
         replaced_specs_.front().replaced_at + max_key_window < at) {
    replaced_specs_.pop_front();
  }
  // The region that keeps a request's record doesn't depend on endpoints.
  if (change.kind == object_kind::endpoint) return;
  const stored_spec* old = find_spec(change.kind, change.name);
  replaced_specs_.push_back(
      {change.kind, change.name, old == nullptr ? "" : old->text, at});
}

void object_store::check(problem_list& problems) const {
  check_endpoints(problems);
  check_rules(problems);
}

void object_store::check_endpoints(problem_list& problems) const {
  for (const auto& [name, it] : endpoints_) {
    if (!services_.contains(it->service)) {
      problems.add(json(), "endpoint " + name,
                   "service \"" + it->service + "\" does not exist",
                   "write the service in the same change, or remove the "
                   "endpoint");
    }
    if (!regions_.contains(it->region)) {
      problems.add(json(), "endpoint " + name,
                   "region \"" + it->region + "\" does not exist",
                   "write the region in the same change, or remove the "
                   "endpoint");
    }
  }
}

void object_store::check_rules(problem_list& problems) const {
  for (const auto& [name, it] : rules_) {
    if (matching_regions(*this, it->permit).empty()) {
      problems.add(json(), "placement_rule " + name,
                   "permit (" + describe(it->permit) + ") selects no region",
                   "select at least one region, or remove the rule: without "
                   "a rule nothing runs");
    }
    if (!it->home.empty() && matching_regions(*this, it->home).empty()) {
      problems.add(json(), "placement_rule " + name,
                   "home (" + describe(it->home) + ") selects no region",
                   "select an existing region, or leave home out");
    }
  }
}

std::vector<std::string> object_store::warnings() const {
  std::vector<std::string> out;
  for (const auto& [name, it] : rules_) {
    if (!any_matches(callers_, it->callers)) {
      out.push_back("placement_rule " + name + ": callers (" +
                    describe(it->callers) + ") matches no caller");
    }
    if (!any_matches(services_, it->services)) {
      out.push_back("placement_rule " + name + ": services (" +
                    describe(it->services) + ") matches no service");
    }
  }
  return out;
}

void object_store::set_evacuated(const std::string& zone, bool evacuated,
                                 revision_number revision) {
  zone_changes_[zone] = revision;
  if (evacuated) {
    evacuated_.insert(zone);
  } else {
    evacuated_.erase(zone);
    ended_evacuations_[zone] = revision;
  }
}

revision_number object_store::last_change_of(const std::string& zone) const {
  const auto found = zone_changes_.find(zone);
  return found == zone_changes_.end() ? 0 : found->second;
}

void object_store::end_missing_evacuations(const object_store& before) {
  for (const std::string& zone : before.evacuated_) {
    if (!evacuated_.contains(zone)) set_evacuated(zone, false, revision_);
  }
}

json to_json(const request_hold& value) {
  json out;
  out["fingerprint"] = value.fingerprint;
  out["held"] = value.held;
  out["service"] = value.service;
  out["evidence"] = value.evidence;
  if (value.base) out["base"] = as_number(*value.base);
  return out;
}

request_hold request_hold_from(const json& value) {
  request_hold out{text_of(value, "fingerprint"), flag_of(value, "held"),
                   text_of(value, "service"), text_of(value, "evidence")};
  const json& base = member_of(value, "base");
  if (base.isUInt64()) out.base = base.asUInt64();
  return out;
}

void object_store::set_hold(const request_hold& it, wall_time at,
                            revision_number revision) {
  if (!it.held) {
    held_requests_.erase(it.fingerprint);
    return;
  }
  held_requests_[it.fingerprint] = {it.service, it.evidence, at, revision};
  if (held_requests_.size() <= max_held_requests) return;
  const auto oldest =
      std::min_element(held_requests_.begin(), held_requests_.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.revision < b.second.revision;
                       });
  held_requests_.erase(oldest);
}

json object_store::to_json(plan_form form) const {
  json out;
  out["revision"] = json(Json::UInt64(revision_));
  if (!group_.empty()) out["group"] = group_;
  json objects(Json::arrayValue);
  for (const auto& [kind, all] : specs_) {
    for (const auto& [name, it] : all) {
      json one = config::to_json(edit{kind, name, it.spec(), it.revision});
      objects.append(std::move(one));
    }
  }
  out["objects"] = std::move(objects);
  json replaced_specs(Json::arrayValue);
  for (const replaced_spec& it : replaced_specs_) {
    json one = config::to_json(edit{it.kind, it.name, it.spec(), std::nullopt});
    one["replaced_at"] = json(Json::Int64(to_unix_ms(it.replaced_at)));
    replaced_specs.append(std::move(one));
  }
  out["former"] = std::move(replaced_specs);
  if (plan_) out["plan"] = config::to_json(*plan_, form);
  out["evacuated_zones"] = trestlepost::to_json(evacuated_);
  for (const auto& [zone, revision] : ended_evacuations_) {
    out["zones_given_back"][zone] = json(Json::UInt64(revision));
  }
  for (const auto& [zone, revision] : zone_changes_) {
    out["zone_changes"][zone] = as_number(revision);
  }
  for (const auto& [fingerprint, it] : held_requests_) {
    json one = config::to_json(
        request_hold{fingerprint, true, it.service, it.evidence});
    one["since"] = json(Json::Int64(to_unix_ms(it.since)));
    one["revision"] = json(Json::UInt64(it.revision));
    out["held_requests"].append(std::move(one));
  }
  return out;
}

result<object_store> object_store::from_json(const json& value) {
  object_store out;
  problem_list problems;
  for (const json& it : member_of(value, "objects")) {
    const result<edit> one = edit_from(it);
    if (!one) return tl::make_unexpected(one.error());
    out.put(*one, one->base.value_or(0), problems);
  }
  for (const json& it : member_of(value, "former")) {
    const result<edit> one = edit_from(it);
    if (!one) return tl::make_unexpected(one.error());
    out.replaced_specs_.push_back(
        {one->kind, one->name, one->spec.isNull() ? "" : to_text(one->spec),
         from_unix_ms(
             static_cast<std::int64_t>(number_of(it, "replaced_at")))});
  }
  if (!problems.empty()) {
    return fail(error_kind::corrupt,
                "a stored configuration does not read: " +
                    problems.to_text("configuration"),
                "run the version of trestlepostd that wrote it");
  }
  const json& plan = member_of(value, "plan");
  if (plan.isObject()) {
    result<traffic_plan> read = traffic_plan_from(plan);
    if (!read) return tl::make_unexpected(read.error());
    out.plan_ = std::make_shared<const traffic_plan>(std::move(*read));
  }
  out.evacuated_ = text_set_of(value, "evacuated_zones");
  const json& ended_evacuations = member_of(value, "zones_given_back");
  if (ended_evacuations.isObject()) {
    for (const std::string& it : ended_evacuations.getMemberNames()) {
      out.ended_evacuations_[it] = number_of(ended_evacuations, it.c_str());
    }
  }
  // Snapshots of earlier versions have only the ends of evacuations.
  out.zone_changes_ = out.ended_evacuations_;
  const json& zone_changes = member_of(value, "zone_changes");
  if (zone_changes.isObject()) {
    for (const std::string& it : zone_changes.getMemberNames()) {
      out.zone_changes_[it] = number_of(zone_changes, it.c_str());
    }
  }
  for (const json& it : member_of(value, "held_requests")) {
    const wall_time since =
        from_unix_ms(static_cast<std::int64_t>(number_of(it, "since")));
    out.set_hold(request_hold_from(it), since, number_of(it, "revision"));
  }
  out.revision_ = number_of(value, "revision");
  out.group_ = text_of(value, "group");
  return out;
}

std::vector<std::string> matching_regions(const object_store& store,
                                          const selector& conditions) {
  std::vector<std::string> out;
  for (const auto& [name, it] : store.regions()) {
    if (matches(conditions, it->labels)) out.push_back(name);
  }
  return out;
}

}  // namespace trestlepost::config

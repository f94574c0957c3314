#include "trestlepost/config/traffic_plan.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trestlepost/config/route_list.h"

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

constexpr char plan_remedy[] = "mend the plan and send it again";

milliseconds duration_of(const json& value, const char* key) {
  return milliseconds(static_cast<std::int64_t>(number_of(value, key)));
}

unsigned unsigned_of(const json& value, const char* key) {
  return static_cast<unsigned>(number_of(value, key));
}

route_kind route_kind_from(const std::string& name) {
  if (name == "repeatable") return route_kind::repeatable;
  if (name == "stream") return route_kind::stream;
  return route_kind::run_once;
}

json to_json(const engine_profile& value) {
  json out;
  out["batch_slots"] = value.batch_slots;
  out["kv_capacity"] = as_number(value.kv_capacity);
  out["kv_token_bytes"] = value.kv_token_bytes;
  out["link_mbps"] = value.link_mbps;
  out["moves"] = value.moves;
  out["backups"] = value.backups;
  out["tokens_per_event"] = value.tokens_per_event;
  out["most_event_watchers"] = value.most_event_watchers;
  out["longest_pin_ms"] = as_number(value.longest_pin);
  out["longest_hold_ms"] = as_number(value.longest_hold);
  out["handle_lifetime_ms"] = as_number(value.handle_lifetime);
  return out;
}

engine_profile engine_from(const json& value) {
  engine_profile out;
  out.batch_slots = unsigned_of(value, "batch_slots");
  out.kv_capacity = number_of(value, "kv_capacity");
  out.kv_token_bytes = real_of(value, "kv_token_bytes");
  out.link_mbps = real_of(value, "link_mbps");
  out.moves = flag_of(value, "moves");
  out.backups = flag_of(value, "backups");
  out.tokens_per_event = unsigned_of(value, "tokens_per_event");
  out.most_event_watchers = unsigned_of(value, "most_event_watchers");
  out.longest_pin = duration_of(value, "longest_pin_ms");
  out.longest_hold = duration_of(value, "longest_hold_ms");
  out.handle_lifetime = duration_of(value, "handle_lifetime_ms");
  return out;
}

json to_json(const planned_service& value) {
  json out;
  out["name"] = value.name;
  out["health_path"] = value.health_path;
  out["most_connections"] = value.most_connections;
  out["warmup_ms"] = as_number(value.warmup);
  out["cold_requests_per_second"] = value.cold_requests_per_second;
  if (value.engine) out["engine"] = to_json(*value.engine);
  return out;
}

planned_service service_from(const json& value) {
  planned_service out;
  out.name = text_of(value, "name");
  out.health_path = text_of(value, "health_path");
  out.most_connections = unsigned_of(value, "most_connections");
  out.warmup = duration_of(value, "warmup_ms");
  out.cold_requests_per_second = real_of(value, "cold_requests_per_second");
  const json& engine = member_of(value, "engine");
  if (engine.isObject()) out.engine = engine_from(engine);
  return out;
}

tl::unexpected<error> invalid(std::string what) {
  return fail(error_kind::bad_input, std::move(what), plan_remedy);
}

result<void> validate_split(const traffic_plan& plan, const route& it) {
  std::uint64_t sum = 0;
  for (const weighted_service& one : it.split) {
    if (plan.find_service(one.service) == nullptr) {
      return invalid("route " + it.name + " names the service " + one.service +
                     ", which the plan does not hold");
    }
    sum += one.weight;
  }
  if (sum > 0) return {};
  return invalid("the weights of route " + it.name + " sum to 0");
}

result<void> validate_route(const traffic_plan& plan, const route& it) {
  if (it.host.empty()) return invalid("route " + it.name + " has no host");
  const bool slash_delimited =
      it.path_prefix.starts_with('/') && it.path_prefix.ends_with('/');
  if (!slash_delimited) {
    return invalid("the path prefix of route " + it.name +
                   " does not begin and end with a slash");
  }
  if (it.timeout <= milliseconds(0)) {
    return invalid("the timeout of route " + it.name + " is 0");
  }
  return validate_split(plan, it);
}

}  // namespace

std::string_view to_string(route_kind kind) {
  switch (kind) {
    case route_kind::repeatable:
      return "repeatable";
    case route_kind::stream:
      return "stream";
    case route_kind::run_once:
      break;
  }
  return "run_once";
}

const planned_service* traffic_plan::find_service(std::string_view name) const {
  const auto it = std::find_if(
      services.begin(), services.end(),
      [name](const planned_service& one) { return one.name == name; });
  return it == services.end() ? nullptr : &*it;
}

json to_json(const route& value) {
  // Fields with their default value are omitted, which halves the size of a
  // plan with thousands of routes.
  json out;
  out["name"] = value.name;
  out["host"] = value.host;
  out["path_prefix"] = value.path_prefix;
  out["kind"] = std::string(to_string(value.kind));
  out["timeout_ms"] = as_number(value.timeout);
  out["attempts"] = value.attempts;
  if (value.latency_objective.count() != 0) {
    out["latency_objective_ms"] = as_number(value.latency_objective);
  }
  if (value.longest_pause.count() != 0) {
    out["longest_pause_ms"] = as_number(value.longest_pause);
  }
  if (value.priority != 0) out["priority"] = value.priority;
  if (value.prefix_affinity) out["prefix_affinity"] = true;
  if (value.resumable) out["resumable"] = true;
  if (value.open_to_all) out["open_to_all"] = true;
  for (const weighted_service& it : value.split) {
    json one;
    one["service"] = it.service;
    one["weight"] = it.weight;
    out["split"].append(std::move(one));
  }
  for (const std::string& it : value.home_regions) {
    out["home_regions"].append(it);
  }
  return out;
}

route route_from(const json& value) {
  route out;
  out.name = text_of(value, "name");
  out.host = text_of(value, "host");
  out.path_prefix = text_of(value, "path_prefix");
  out.kind = route_kind_from(text_of(value, "kind"));
  out.timeout = duration_of(value, "timeout_ms");
  out.latency_objective = duration_of(value, "latency_objective_ms");
  out.longest_pause = duration_of(value, "longest_pause_ms");
  out.priority = static_cast<int>(number_of(value, "priority"));
  out.attempts = unsigned_of(value, "attempts");
  out.prefix_affinity = flag_of(value, "prefix_affinity");
  out.resumable = flag_of(value, "resumable");
  out.open_to_all = flag_of(value, "open_to_all");
  for (const json& it : member_of(value, "split")) {
    out.split.push_back({text_of(it, "service"), unsigned_of(it, "weight")});
  }
  out.home_regions = texts_of(value, "home_regions");
  return out;
}

json to_json(const std::vector<planned_service>& value) {
  json out(Json::arrayValue);
  for (const planned_service& it : value) out.append(to_json(it));
  return out;
}

std::vector<planned_service> services_from(const json& value) {
  std::vector<planned_service> out;
  for (const json& it : value) out.push_back(service_from(it));
  return out;
}

json to_json(const request_limits& value) {
  json out;
  out["header_bytes"] = as_number(value.header_bytes);
  out["body_bytes"] = as_number(value.body_bytes);
  out["header_timeout_ms"] = as_number(value.header_timeout);
  out["idle_timeout_ms"] = as_number(value.idle_timeout);
  return out;
}

request_limits limits_from(const json& value) {
  request_limits out;
  out.header_bytes = number_of(value, "header_bytes");
  out.body_bytes = number_of(value, "body_bytes");
  out.header_timeout = duration_of(value, "header_timeout_ms");
  out.idle_timeout = duration_of(value, "idle_timeout_ms");
  return out;
}

json to_json(const traffic_plan& value, plan_form form) {
  json out;
  out["number"] = as_number(value.number);
  out["routes"] = to_json(value.routes);
  out["services"] = to_json(value.services);
  out["limits"] = to_json(value.limits);
  if (value.requires_key) {
    out["organisations"] = to_json(value.organisations);
  }
  if (form == plan_form::full) out["document"] = value.document;
  return out;
}

result<traffic_plan> traffic_plan_from(const json& value) {
  if (!value.isObject() || number_of(value, "number") == 0) {
    return invalid("a traffic plan has no number");
  }
  traffic_plan out;
  out.number = number_of(value, "number");
  out.routes = routes_from(member_of(value, "routes"));
  out.services = services_from(member_of(value, "services"));
  out.limits = limits_from(member_of(value, "limits"));
  const json& organisations = member_of(value, "organisations");
  out.requires_key = organisations.isArray();
  if (out.requires_key) out.organisations = organisations_from(organisations);
  out.document = text_of(value, "document");
  return out;
}

result<void> validate_plan(const traffic_plan& value) {
  std::set<std::string> services;
  for (const planned_service& it : value.services) {
    if (it.name.empty()) return invalid("a service has no name");
    if (!services.insert(it.name).second) {
      return invalid("the service " + it.name + " is listed twice");
    }
  }
  std::set<std::pair<std::string, std::string>> keys;
  for (const route& it : value.routes) {
    result<void> valid = validate_route(value, it);
    if (!valid) return valid;
    if (!keys.insert({it.host, it.path_prefix}).second) {
      return invalid("two routes stand at " + it.host + it.path_prefix);
    }
  }
  return validate_organisations(value.organisations);
}

}  // namespace trestlepost::config

// What operators read from a node, which operator_service.h declares.
#include <utility>

#include "operator_service.h"
#include "trestlepost/own/request_options.h"

namespace trestlepost::node {
namespace {

json to_json(const routing::placement& placed) {
  json out;
  json& permitted = out["permitted"] = json(Json::arrayValue);
  for (const std::string& it : placed.permitted) permitted.append(it);
  out["home"] = placed.home;
  out["away_penalty"] = format_duration(placed.away_penalty);
  const bool refuse = placed.transit == config::transit_policy::refuse;
  out["transit"] = refuse ? "refuse" : "allow";
  json& rules = out["rules"] = json(Json::arrayValue);
  for (const routing::rule_trace& it : placed.trace) {
    json one;
    one["rule"] = it.rule;
    one["matched"] = it.matched;
    one["reason"] = it.matched ? "matches" : it.reason;
    json& permits = one["permits"] = json(Json::arrayValue);
    for (const std::string& region : it.permits) permits.append(region);
    rules.append(std::move(one));
  }
  return out;
}

}  // namespace

json operator_service::held_requests() const {
  json out;
  json& all = out["held"] = json(Json::arrayValue);
  for (const auto& [fingerprint, it] : context_.store.held_requests()) {
    json one;
    one["fingerprint"] = fingerprint;
    one["service"] = it.service;
    one["since"] = format_utc(it.since);
    one["revision"] = as_number(it.revision);
    one["evidence"] = it.evidence;
    all.append(std::move(one));
  }
  return out;
}

json operator_service::status() const {
  json out;
  out["node"] = context_.self.name;
  out["region"] = context_.self.region;
  out["availability_zone"] = context_.self.availability_zone;
  out["state"] = std::string(context_.state.name());
  out["revision"] = as_number(context_.store.revision());
  out["confirmed"] = context_.state.confirmed_at(context_.clock.now());
  out["leader"] = watch_.leader();
  if (control_ != nullptr) out["control"] = control_status();
  if (ledger_.host() != nullptr) {
    const consensus::replica& core = ledger_.host()->core();
    json& one = out["ledger"];
    one["group_id"] = core.group_id();
    one["leader"] = core.leader() ? core.leader()->node : "";
    one["members"] = consensus::to_json(core.members());
    one["records"] = as_number(ledger_.records());
  }
  out["nodes"] = nodes_status();
  out["endpoints"] = endpoints_status();
  json& trips = out["round_trips"] = json(Json::objectValue);
  for (const auto& [region, it] : context_.round_trips) {
    trips[region] = format_duration(it);
  }
  return out;
}

json operator_service::control_status() const {
  const consensus::group_host& host = control_->host();
  const consensus::replica& core = host.core();
  json out;
  out["group_id"] = core.group_id();
  out["leads"] = control_->leads();
  out["term"] = as_number(core.term());
  out["commit_index"] = as_number(core.commit_index());
  out["applied_index"] = as_number(host.applied());
  out["members"] = consensus::to_json(core.members());
  if (host.failure()) out["failure"] = host.failure()->message;
  return out;
}

json operator_service::nodes_status() const {
  const monotonic_time now = context_.clock.now();
  json out(Json::arrayValue);
  for (const membership::node_record* it : context_.nodes.all()) {
    const membership::heartbeat& last = it->last;
    json one;
    one["node"] = last.node.name;
    one["region"] = last.node.region;
    one["availability_zone"] = last.node.availability_zone;
    one["address"] = last.node.caller_address;
    one["state"] = last.state;
    one["revision"] = as_number(last.revision);
    const membership::peer_state liveness = context_.nodes.state_of(*it, now);
    one["heard"] =
        liveness == membership::peer_state::live
            ? "live"
            : (liveness == membership::peer_state::suspect ? "suspect"
                                                           : "dead");
    one["in_force"] = last.revision >= context_.store.revision();
    out.append(std::move(one));
  }
  return out;
}

json operator_service::endpoints_status() const {
  json out(Json::arrayValue);
  for (const membership::endpoint_view& it :
       context_.endpoints.all_views(context_.clock.now())) {
    json one;
    one["endpoint"] = it.name;
    one["service"] = it.service;
    one["address"] = it.address;
    one["state"] = it.state;
    one["limit"] = it.limit;
    one["in_flight"] = it.own_in_flight;
    one["load"] = it.load;
    out.append(std::move(one));
  }
  return out;
}

result<json> operator_service::get(const json& params) const {
  const std::string kind_name = text_of(params, "kind");
  const std::string name = text_of(params, "name");
  json objects(Json::arrayValue);
  for (const config::object_kind kind : config::all_object_kinds) {
    if (!kind_name.empty()) {
      const result<config::object_kind> wanted =
          config::object_kind_from(kind_name);
      if (!wanted) return tl::make_unexpected(wanted.error());
      if (*wanted != kind) continue;
    }
    for (const auto& [key, it] : context_.store.specs(kind)) {
      if (!name.empty() && key != name) continue;
      json one;
      one["kind"] = std::string(to_string(kind));
      one["name"] = key;
      one["revision"] = as_number(it.revision);
      one["spec"] = it.spec();
      objects.append(std::move(one));
    }
  }
  if (!name.empty() && objects.empty()) {
    return fail(error_kind::not_found, "there is no " + kind_name + " " + name,
                "list them with `trestlepost get " + kind_name + "`");
  }
  json out;
  out["revision"] = as_number(context_.store.revision());
  out["objects"] = std::move(objects);
  return out;
}

result<json> operator_service::explain(const json& params) const {
  const std::shared_ptr<const config::caller> caller =
      context_.store.find_caller(text_of(params, "caller"));
  const std::shared_ptr<const config::service> service =
      context_.store.find_service(text_of(params, "service"));
  if (!caller || !service) {
    return fail(error_kind::not_found,
                caller ? "there is no such service" : "there is no such caller",
                "list them with `trestlepost get`");
  }
  const result<config::label_map> labels =
      own::parse_labels(text_of(params, "labels"));
  if (!labels) return tl::make_unexpected(labels.error());
  const result<routing::placement> placed = routing::compute_placement(
      routing::inputs_of(context_.store), *caller, *service, *labels);
  json out;
  out["caller"] = caller->name;
  out["service"] = service->name;
  out["entry_region"] = context_.self.region;
  if (!placed) {
    out["verdict"] = "refused";
    out["refusal"] = trestlepost::to_json(placed.error());
    return out;
  }
  out["placement"] = to_json(*placed);
  const routing::region_request requested{context_.self.region,
                                          context_.state.crosses_regions(),
                                          flag_of(params, "run_once"), 0};
  const std::vector<routing::region_candidate> ranked =
      routing::rank_regions(*placed, local_.views(service->name), requested,
                            context_.options.region_choice);
  json& regions = out["regions"] = json(Json::arrayValue);
  for (const routing::region_candidate& it : ranked) {
    json one;
    one["region"] = it.region;
    one["eligible"] = it.eligible;
    one["cost"] = format_duration(it.cost);
    one["reason"] = it.reason;
    regions.append(std::move(one));
  }
  out["endpoints"] = endpoints_status();
  const bool runs = !ranked.empty() && ranked.front().eligible;
  out["verdict"] = runs ? "served in " + ranked.front().region : "refused now";
  return out;
}

}  // namespace trestlepost::node

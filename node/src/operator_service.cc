#include "operator_service.h"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/own/request_options.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using transport::awaitable;
using transport::rpc_context;

constexpr milliseconds relay_interval{400};
constexpr milliseconds relay_timeout{20'000};

/// Roles in ascending order; each includes the permissions of those before it.
constexpr std::array<std::string_view, 3> roles{"read", "change", "found"};

bool role_covers(const std::string& has, const std::string& needed) {
  const auto own = std::find(roles.begin(), roles.end(), has);
  const auto required = std::find(roles.begin(), roles.end(), needed);
  return own != roles.end() && own >= required;
}

tl::unexpected<error> role_refused(const std::string& needed) {
  return fail(error_kind::unauthorized,
              "this needs the role \"" + needed + "\"",
              "use the token of an operator with this role");
}

result<config::change> change_from_params(const json& params,
                                          const rpc_context& caller,
                                          const config::object_store& store) {
  config::change out;
  out.id = text_of(params, "change_id");
  out.operator_name = caller.operator_name;
  const json& if_revision = member_of(params, "if_revision");
  if (if_revision.isUInt64()) out.if_revision = if_revision.asUInt64();
  for (const json& it : member_of(params, "edits")) {
    result<config::edit> one = config::edit_from(it);
    if (!one) return tl::make_unexpected(one.error());
    // An edit without a base revision applies to the spec in force here.
    if (!one->base) {
      const config::stored_spec* now = store.find_spec(one->kind, one->name);
      one->base = now == nullptr ? 0 : now->revision;
    }
    out.edits.push_back(std::move(*one));
  }
  if (out.id.empty() || out.edits.empty()) {
    return fail(error_kind::bad_input, "the change has no id or no edits",
                "use `trestlepost apply`");
  }
  return out;
}

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

operator_service::operator_service(node_context& context,
                                   control_service* control,
                                   watch_client& watch, ledger_service& ledger,
                                   gateway::local_service& local,
                                   prometheus::Registry& registry)
    : context_(context),
      control_(control),
      watch_(watch),
      ledger_(ledger),
      local_(local),
      registry_(registry) {}

void operator_service::start() {
  add_methods();
  context_.peers.add_notification(
      "operator.ask", [this](const json& params, const rpc_context&) {
        handle_relayed_call(params);
      });
  context_.peers.add_notification(
      "operator.answer", [this](const json& params, const rpc_context&) {
        handle_relayed_answer(params);
      });
}

void operator_service::add_sync_method(
    const std::string& name, const std::string& role,
    std::function<result<json>(const json&)> method) {
  dispatcher_.add_method(
      name,
      [role, method = std::move(method)](
          const json& params, const rpc_context& caller) -> result<json> {
        if (!role_covers(caller.role, role)) return role_refused(role);
        return method(params);
      });
}

void operator_service::add_async_method(const std::string& name,
                                        const std::string& role,
                                        bool on_founder, async_method local) {
  async_methods_[name] = std::move(local);
  dispatcher_.add_method(
      name,
      [this, name, role, on_founder](
          const json& params, const rpc_context& caller) -> result<json> {
        if (!role_covers(caller.role, role)) return role_refused(role);
        const bool no_founder = context_.options.control_nodes.empty();
        if (on_founder && no_founder) return founded_from_seeds();
        const std::string ticket = tickets_.open(
            make_request_id(context_.random), context_.clock.now());
        if (runs_here(on_founder)) {
          async_methods_.at(name)(params, caller,
                                  [this, ticket](result<json> answer) {
                                    tickets_.close(ticket, std::move(answer));
                                  });
          return tickets_.read(ticket);
        }
        relayed_call call;
        if (on_founder) {
          call.target = context_.options.control_nodes.front().name;
        }
        call.params["method"] = name;
        call.params["params"] = params;
        call.params["operator"] = caller.operator_name;
        call.params["role"] = caller.role;
        relay(ticket, std::move(call));
        return tickets_.read(ticket);
      });
}

void operator_service::add_methods() {
  add_sync_method("status", "read", [this](const json&) { return status(); });
  add_sync_method("get", "read",
                  [this](const json& params) { return get(params); });
  add_sync_method("explain", "read",
                  [this](const json& params) { return explain(params); });
  add_sync_method("held", "read",
                  [this](const json&) { return held_requests(); });
  add_sync_method("ticket", "read", [this](const json& params) {
    return tickets_.read(text_of(params, "ticket"));
  });
  add_sync_method("drain", "change", [this](const json&) -> result<json> {
    if (on_drain) on_drain();
    json out;
    out["state"] = context_.state.name();
    return out;
  });
  add_sync_method("recover", "found", [this](const json&) -> result<json> {
    if (control_ != nullptr) return control_->recover();
    return fail(error_kind::bad_input, "this node is not a control node",
                "run it against the control node that kept its disk");
  });
  add_async_method(
      "apply", "change", false,
      [this](const json& params, const rpc_context& caller,
             const answer_function& answer) { apply(params, caller, answer); });
  add_async_method("release", "change", false,
                   [this](const json& params, const rpc_context& caller,
                          const answer_function& answer) {
                     release(params, caller, answer);
                   });
  add_async_method("audit", "read", false,
                   [this](const json& params, const rpc_context&,
                          const answer_function& answer) {
                     control_->read_audit(params, answer);
                   });
  add_async_method(
      "init", "found", true,
      [this](const json&, const rpc_context&, const answer_function& answer) {
        control_->found(answer);
      });
}

bool operator_service::runs_here(bool on_founder) const {
  if (control_ == nullptr) return false;
  if (on_founder) {
    return context_.options.control_nodes.front().name == context_.self.name;
  }
  return control_->leads();
}

void operator_service::apply(const json& params, const rpc_context& caller,
                             const answer_function& answer) {
  result<config::change> requested =
      change_from_params(params, caller, control_->machine().store());
  if (!requested) {
    answer(tl::make_unexpected(requested.error()));
    return;
  }
  control_->propose(std::move(*requested), answer);
}

void operator_service::release(const json& params, const rpc_context& caller,
                               const answer_function& answer) {
  const std::string fingerprint = text_of(params, "fingerprint");
  const config::object_store& store = control_->machine().store();
  if (!store.held_requests().contains(fingerprint)) {
    answer(fail(error_kind::not_found,
                "no request with the fingerprint " + fingerprint + " is held",
                "list the held requests with `trestlepost held`"));
    return;
  }
  config::change requested;
  requested.id = text_of(params, "change_id");
  if (requested.id.empty()) requested.id = make_request_id(context_.random);
  requested.operator_name = caller.operator_name;
  requested.hold = config::request_hold{fingerprint, false, "", ""};
  control_->propose(std::move(requested), answer);
}

json operator_service::held_requests() const {
  json out;
  json& all = out["held"] = json(Json::arrayValue);
  for (const auto& [fingerprint, it] : context_.store.held_requests()) {
    json one;
    one["fingerprint"] = fingerprint;
    one["service"] = it.service;
    one["since"] = format_utc(it.since);
    one["evidence"] = it.evidence;
    all.append(std::move(one));
  }
  return out;
}

void operator_service::relay(const std::string& ticket, relayed_call call) {
  call.opened_at = context_.clock.now();
  call.params["ticket"] = ticket;
  call.params["reply_to"] = context_.self.peer_address;
  send_relayed(relayed_[ticket] = std::move(call));
}

void operator_service::send_relayed(relayed_call& call) {
  call.sent_at = context_.clock.now();
  std::string target = call.target.empty() ? watch_.leader() : call.target;
  if (call.target.empty() && control_ != nullptr && target.empty()) {
    target = control_->leader_node();
  }
  context_.links.send(context_.peer_address(target), "operator.ask",
                      call.params);
}

void operator_service::handle_relayed_call(const json& params) {
  const std::string name = text_of(params, "method");
  const auto method = async_methods_.find(name);
  if (method == async_methods_.end() || control_ == nullptr) return;
  const std::string ticket = text_of(params, "ticket");
  const std::string reply_to = text_of(params, "reply_to");
  const rpc_context caller{text_of(params, "operator"),
                           text_of(params, "role")};
  const bool founding = name == "init";
  // Only the leader answers; the relaying node repeats the call until then.
  if (!founding && !control_->leads()) return;
  method->second(member_of(params, "params"), caller,
                 [this, ticket, reply_to](const result<json>& answer) {
                   // Temporary errors are not sent back: the relaying node
                   // repeats the call until it receives an outcome.
                   const bool temporary =
                       !answer &&
                       (answer.error().kind == error_kind::in_progress ||
                        answer.error().kind == error_kind::not_leader);
                   if (temporary) return;
                   json out;
                   out["ticket"] = ticket;
                   if (answer) {
                     out["result"] = *answer;
                   } else {
                     out["error"] = to_json(answer.error());
                   }
                   context_.links.send(reply_to, "operator.answer", out);
                 });
}

void operator_service::handle_relayed_answer(const json& params) {
  const std::string ticket = text_of(params, "ticket");
  relayed_.erase(ticket);
  const json& failed = member_of(params, "error");
  if (failed.isObject()) {
    tickets_.close(ticket, tl::make_unexpected(error_from(failed)));
    return;
  }
  tickets_.close(ticket, member_of(params, "result"));
}

void operator_service::tick() {
  const monotonic_time now = context_.clock.now();
  tickets_.tick(now);
  for (auto it = relayed_.begin(); it != relayed_.end();) {
    if (now >= it->second.opened_at + relay_timeout) {
      tickets_.close(
          it->first,
          fail(error_kind::unavailable,
               "the configuration group has no leader that answers; whether "
               "the call took effect is not known",
               "run it again with the same --change-id"));
      it = relayed_.erase(it);
      continue;
    }
    if (now >= it->second.sent_at + relay_interval) {
      send_relayed(it->second);
    }
    ++it;
  }
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

json operator_service::status() const {
  json out;
  out["node"] = context_.self.name;
  out["region"] = context_.self.region;
  out["availability_zone"] = context_.self.availability_zone;
  out["state"] = context_.state.name();
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

result<rpc_context> operator_service::authenticate(
    const transport::http_exchange& exchange) const {
  const std::string given =
      sha256_hex(own::bearer_token(exchange.header("Authorization")));
  for (const operator_account& it : context_.options.operators) {
    if (it.token_sha256 == given) return rpc_context{it.name, it.role};
  }
  return fail(error_kind::unauthorized, "the token is not an operator's",
              "set TRESTLEPOST_TOKEN or --token-file to an operator's token");
}

awaitable<void> operator_service::handle(transport::http_exchange& exchange) {
  transport::http_response answer;
  const std::string target(exchange.target());
  if (target == "/metrics" && exchange.method() == "GET") {
    answer.content_type = "text/plain; version=0.0.4";
    answer.body = prometheus::TextSerializer().Serialize(registry_.Collect());
    co_await exchange.respond(std::move(answer));
    co_return;
  }
  const result<std::string> body = co_await exchange.read_body();
  error cause{error_kind::not_found, "there is no such path",
              "POST JSON-RPC to /rpc, or GET /metrics"};
  unsigned status = 404;
  if (!body) {
    cause = body.error();
    status = 400;
  } else if (target == "/rpc" && exchange.method() == "POST") {
    const result<rpc_context> caller = authenticate(exchange);
    if (caller) {
      answer.body = dispatcher_.dispatch(*body, *caller);
      co_await exchange.respond(std::move(answer));
      co_return;
    }
    cause = caller.error();
    status = 401;
  }
  answer =
      transport::problem_response(status, cause, "no", std::chrono::seconds(0));
  co_await exchange.respond(std::move(answer));
}

}  // namespace trestlepost::node

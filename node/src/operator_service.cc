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
constexpr std::chrono::seconds no_memory_retry_after{1};
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

void operator_service::add_async_method(
    const std::string& name, const std::string& role, bool on_founder,
    async_method local, std::function<json(const json&)> complete) {
  async_methods_[name] = std::move(local);
  dispatcher_.add_method(
      name,
      [this, name, role, on_founder, complete = std::move(complete)](
          const json& given, const rpc_context& caller) -> result<json> {
        if (!role_covers(caller.role, role)) return role_refused(role);
        const json params = complete(given);
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
    out["state"] = std::string(context_.state.name());
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
  add_async_method(
      "release", "change", false,
      [this](const json& params, const rpc_context& caller,
             const answer_function& answer) {
        release(params, caller, answer);
      },
      [this](const json& params) { return complete_release(params); });
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
  const json& held_at = member_of(params, "held_at_revision");
  if (held_at.isUInt64()) requested.hold->base = held_at.asUInt64();
  control_->propose(std::move(requested), answer);
}

json operator_service::complete_release(const json& params) const {
  json out = params;
  const auto& held = context_.store.held_requests();
  const auto found = held.find(text_of(params, "fingerprint"));
  const bool given = member_of(params, "held_at_revision").isUInt64();
  if (!given && found != held.end()) {
    out["held_at_revision"] = as_number(found->second.revision);
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
  const result<transport::request_body> body = co_await exchange.read_body();
  // What waited in this node's socket until its sender gave up is not done.
  if (exchange.has_caller_left()) {
    log_event(log_level::info, "operator-call-abandoned", {{"target", target}});
    co_return;
  }
  error cause{error_kind::not_found, "there is no such path",
              "POST JSON-RPC to /rpc, or GET /metrics"};
  unsigned status = 404;
  std::chrono::seconds retry_after{0};
  if (!body) {
    const bool no_memory = body.error().kind == error_kind::overloaded;
    cause = body.error();
    status = no_memory ? 503 : 400;
    if (no_memory) retry_after = no_memory_retry_after;
  } else if (target == "/rpc" && exchange.method() == "POST") {
    const result<rpc_context> caller = authenticate(exchange);
    if (caller) {
      answer.body = dispatcher_.dispatch(body->text, *caller);
      co_await exchange.respond(std::move(answer));
      co_return;
    }
    cause = caller.error();
    status = 401;
  }
  answer = transport::problem_response(status, cause, "no", retry_after);
  co_await exchange.respond(std::move(answer));
}

}  // namespace trestlepost::node

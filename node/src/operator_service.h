// The operators' interface of a node: JSON-RPC over HTTP and Prometheus
// metrics.
#pragma once

#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "control_service.h"
#include "ledger_service.h"
#include "node_context.h"
#include "ticket_table.h"
#include "trestlepost/gateway/local_service.h"
#include "watch_client.h"

namespace trestlepost::node {

/// Authenticates operators and runs their calls. A call that only the leader or
/// the founding node can answer is relayed to it, and the caller polls a ticket
/// for the result.
class operator_service final : public transport::http_handler {
 public:
  /// `control` is null on a node without that role.
  operator_service(node_context& context, control_service* control,
                   watch_client& watch, ledger_service& ledger,
                   gateway::local_service& local,
                   prometheus::Registry& registry);

  void start();
  void tick();

  transport::awaitable<void> handle(
      transport::http_exchange& exchange) override;

  /// Called when an operator orders this node to stop.
  std::function<void()> on_drain;

 private:
  /// A call sent to another node, until it is answered.
  struct relayed_call {
    std::string target;  // node name; empty: the leader
    json params;
    monotonic_time opened_at;
    monotonic_time sent_at;
  };

  void add_methods();
  /// Adds a method that runs on the leader, or with `on_founder` on the first
  /// control node, and completes later.
  /// `complete` adds to the parameters what the node knows that the operator
  /// has called.
  void add_async_method(
      const std::string& name, const std::string& role, bool on_founder,
      async_method local,
      std::function<json(const json&)> complete = [](const json& params) {
        return params;
      });
  /// Adds a method that any node answers immediately.
  void add_sync_method(const std::string& name, const std::string& role,
                       std::function<result<json>(const json&)> method);
  /// Runs a call relayed by another node, and sends the result back.
  void handle_relayed_call(const json& params);
  /// Stores the result of a relayed call under its ticket.
  void handle_relayed_answer(const json& params);
  void relay(const std::string& ticket, relayed_call call);
  void send_relayed(relayed_call& call);
  bool runs_here(bool on_founder) const;
  result<transport::rpc_context> authenticate(
      const transport::http_exchange& exchange) const;

  json status() const;
  json control_status() const;
  json nodes_status() const;
  json endpoints_status() const;
  result<json> get(const json& params) const;
  result<json> explain(const json& params) const;
  void apply(const json& params, const transport::rpc_context& caller,
             const answer_function& answer);
  /// Allows a held request to be sent to endpoints again.
  void release(const json& params, const transport::rpc_context& caller,
               const answer_function& answer);
  /// Names the hold that a release refers to, as this node shows it.
  json complete_release(const json& params) const;
  json held_requests() const;

  node_context& context_;
  control_service* control_;
  watch_client& watch_;
  ledger_service& ledger_;
  gateway::local_service& local_;
  prometheus::Registry& registry_;
  transport::rpc_dispatcher dispatcher_;
  ticket_table tickets_;
  std::map<std::string, async_method> async_methods_;
  std::map<std::string, relayed_call> relayed_;
};

}  // namespace trestlepost::node

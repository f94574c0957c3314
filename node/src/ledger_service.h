// The replica of the region's run-once ledger on this node, and fencing of
// attempts in the ledgers of other regions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "node_context.h"
#include "trestlepost/config/change.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/ledger/claim_table.h"
#include "trestlepost/ledger/state_machine.h"

namespace trestlepost::node {

/// Claims run-once requests in the region's replicated ledger, so that at most
/// one attempt of each runs.
class ledger_service final : public gateway::ledger_client,
                             public ledger::command_proposer,
                             public consensus::message_sink {
 public:
  explicit ledger_service(node_context& context);

  void start();
  void tick();

  /// Starts this node's replica of the ledger with `founding`. Does nothing
  /// when it runs already or the ledger is another region's.
  void start_replica(const config::ledger_founding& founding);

  transport::awaitable<result<ledger::claim_decision>> claim(
      ledger::claim_command command, monotonic_time deadline) override;
  transport::awaitable<result<ledger::claim_decision>> fence(
      std::string region, ledger::fence_command command,
      monotonic_time deadline) override;
  void finish(const ledger::finish_command& command) override;
  std::string make_attempt_id() override;

  void propose(const json& command) override;
  void send(const consensus::message& out) override;

  /// The replica; null until the ledger is founded and this node has started
  /// its replica.
  const consensus::group_host* host() const { return host_.get(); }
  std::size_t records() const { return machine_.size(); }
  std::size_t pending() const { return claims_.pending(); }

 private:
  using begin_function =
      std::function<void(ledger::claim_table::decision_handler)>;

  /// A fence sent to another region, until its decision is received.
  struct remote_fence {
    std::string region;
    json params;
    monotonic_time sent_at;
    ledger::claim_table::decision_handler decided;
  };

  void register_peer_methods();
  /// Submits a fence from another region to this region's ledger, and sends the
  /// decision back.
  void handle_fence(const json& params);
  /// Handles the decision of a fence that was sent to another region.
  void handle_fenced(const json& params);
  void send_fence(remote_fence& it);
  void update_voters();
  void request_join();
  /// Calls `begin` and waits for the decision; calls `on_timeout` and fails at
  /// the deadline.
  transport::awaitable<result<ledger::claim_decision>> wait_for_decision(
      begin_function begin, std::function<void()> on_timeout,
      monotonic_time deadline);

  node_context& context_;
  std::string own_prefix_;
  ledger::ledger_state_machine machine_;
  ledger::claim_table claims_;
  std::unique_ptr<consensus::group_host> host_;
  std::string group_id_;
  std::map<std::string, remote_fence> remote_fences_;
  monotonic_time next_join_;
};

}  // namespace trestlepost::node

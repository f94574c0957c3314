// The configuration group on a control node: takes changes, answers watchers,
// founds the group and the ledgers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config_watchers.h"
#include "crash_judge.h"
#include "group_orders.h"
#include "group_upkeep.h"
#include "node_book.h"
#include "node_context.h"
#include "ticket_table.h"
#include "trestlepost/config/state_machine.h"
#include "trestlepost/consensus/group_growth.h"

namespace trestlepost::node {

/// This node's replica of the group, and what the leader does beside it.
class control_service final : public consensus::message_sink {
 public:
  explicit control_service(node_context& context)
      : context_(context), upkeep_(context, [this](const std::string& it) {
          return address_of(it);
        }) {}

  result<void> start();
  void tick();

  /// Runs `change` through the log; answers once it is decided.
  void propose(config::change asked, const answer_function& answer);
  /// Founds the group, once.
  void found(answer_function answer);
  /// Goes on from this node's disk alone after the majority was lost.
  result<json> recover();
  /// The audit trail, as far as this node has applied it, after a read that
  /// the majority confirms.
  void read_audit(const json& filter, const answer_function& answer);

  void send(const consensus::message& out) override;

  const consensus::group_host& host() const { return *host_; }
  const config::config_state_machine& machine() const { return machine_; }
  bool leads() const;
  /// The group's leader as far as this node knows, perhaps without a lease.
  bool is_leader() const { return host_->core().is_leader(); }
  /// Whether changes may be acknowledged: enough control nodes vote to bear
  /// the losses that the settings name.
  bool may_acknowledge() const;
  /// Runs `ready` once a read here is sure to see all that was acknowledged;
  /// an error when this node does not lead.
  result<void> confirm_read(std::function<void()> ready);
  std::string leader_node() const;
  /// Where the leader receives, or empty.
  std::string leader_address() const;
  /// Whether another node leads, as far as this one knows.
  bool hears_leader() const;
  /// Whether this node leads, or hears the one that does.
  bool knows_leader() const { return is_leader() || hears_leader(); }
  /// Whether all watchers that are heard hold the revision, as far as this
  /// leader can know.
  bool is_confirmed(config::revision_number revision) const;
  /// Operators' changes and reads, at any control node.
  group_orders& orders() { return orders_; }
  /// How often this node sent a configuration, or changes of it, to a watcher.
  std::uint64_t contents_sent() const { return watchers_.updates_sent(); }
  /// Called when all watchers have a revision: the time since its decision.
  void set_on_confirmed(std::function<void(std::chrono::milliseconds)> action) {
    watchers_.on_confirmed = std::move(action);
  }
  /// The connection to the peer at `address` was lost.
  void connection_lost(const std::string& address) {
    if (leads()) watchers_.handle_connection_lost(address);
  }

 private:
  struct waiting_change {
    std::vector<answer_function> answers;
    monotonic_time since;
  };
  struct kept_poll {
    json params;
    monotonic_time at;
  };
  struct founding {
    answer_function answer;
    std::map<std::string, std::uint64_t> incarnations;
    monotonic_time started_at;
  };

  void register_peer_methods();
  /// To the leader, for an asker that may be cut off from it; the answer comes
  /// back the same way.
  void pass_poll_on(const json& params);
  void handle_poll(const json& params);
  /// Keeps a poll that comes while no leader is known: this node may be the
  /// next one.
  void keep_poll(const std::string& address, const json& params);
  /// Answers the polls that came before this node led: a gateway that has
  /// started serves nobody until then.
  void answer_kept_polls();
  /// Takes in who polls; its name, or empty when the leader must be told.
  std::string meet_asker(const json& params);
  void handle_probe(const json& params);
  void handle_probe_answer(const json& params);
  /// What the leader tells an asker beside the configuration: the revision,
  /// nodes and ledgers.
  json make_news(std::uint64_t book_version, const std::string& region) const;
  void on_decided(const config::audit_record& record);
  void finish_founding_if_ready();
  /// A ledger for `region`; without members when too few nodes live there.
  config::ledger_founding new_ledger(const std::string& region) const;
  void found_ledgers();
  void ask_to_join();
  void found_from_seeds();
  std::unique_ptr<consensus::storage> open_storage() const;
  void restart_after_failure();
  /// Logs when this leader loses its lease without being replaced.
  void note_lease();
  void handle_join(const json& params);
  std::string address_of(const std::string& node) const;

  node_context& context_;
  group_upkeep upkeep_;
  config::config_state_machine machine_;
  std::unique_ptr<consensus::group_host> host_;
  consensus::group_growth growth_{context_.heard_from};
  config_watchers watchers_{context_, machine_};
  crash_judge judge_{context_, machine_.store(), [this](config::change asked) {
                       propose(std::move(asked), [](const result<json>&) {});
                     }};
  group_orders orders_{context_, *this};
  node_book book_;
  std::map<std::string, waiting_change> waiting_;
  std::map<std::string, kept_poll> kept_polls_;  // the last, by address
  std::optional<founding> founding_;
  monotonic_time next_join_;
  monotonic_time next_restart_;
  std::uint64_t next_read_ = 1;
  bool held_lease_ = false;
  monotonic_time lease_lapsed_at_;
  std::set<std::string> proposed_ledgers_;
};

}  // namespace trestlepost::node

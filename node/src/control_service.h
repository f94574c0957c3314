// The configuration group on a control node: accepts changes, answers polls
// from watchers, and founds the configuration group and the ledgers.
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
#include "control/control_load.h"
#include "control/directory_publisher.h"
#include "control/poll_queue.h"
#include "group_maintenance.h"
#include "group_orders.h"
#include "hold_proposer.h"
#include "node_context.h"
#include "node_directory.h"
#include "ticket_table.h"
#include "trestlepost/config/state_machine.h"
#include "trestlepost/consensus/group_formation.h"

namespace trestlepost::node {

/// The error of founding where no control nodes are listed.
tl::unexpected<error> founded_from_seeds();

/// Owns this node's replica of the configuration group and the work that the
/// leader does beyond replication.
class control_service final : public consensus::message_sink {
 public:
  explicit control_service(node_context& context)
      : context_(context),
        maintenance_(context,
                     [this](const std::string& it) { return address_of(it); }),
        load_(context.links) {}

  result<void> start();
  void tick();

  /// Proposes a change to the log; answers once its outcome is decided.
  void propose(config::change requested, const answer_function& answer);
  /// Founds the configuration group. Fails when one exists already.
  void found(answer_function answer);
  /// Forms a new group of this node alone, from the data on its disk. Only for
  /// use after the majority was lost for good.
  result<json> recover();
  /// Answers with the matching entries of the audit trail, after a majority
  /// has confirmed that this node still leads.
  void read_audit(const json& filter, const answer_function& answer);

  void send(const consensus::message& out) override;

  const consensus::group_host& host() const { return *host_; }
  const config::config_state_machine& machine() const { return machine_; }
  /// Whether this node leads and holds the leader's lease.
  bool leads() const;
  /// Whether this node is the leader of its term as far as it knows, with or
  /// without the lease.
  bool is_leader() const { return host_->core().is_leader(); }
  /// Whether changes may be acknowledged: there are enough voters to survive
  /// the loss of `tolerated_losses` control nodes.
  bool may_acknowledge() const;
  /// Calls `ready` once a read on this node sees every acknowledged change.
  /// Fails when this node does not lead.
  result<void> confirm_read(std::function<void()> ready);
  /// The name of the last known leader, or empty.
  std::string leader_node() const;
  /// The leader's peer address, or empty.
  std::string leader_address() const;
  /// Whether the last known leader is another node.
  bool follows_leader() const;
  /// Whether any leader is known, this node included.
  bool knows_leader() const { return is_leader() || follows_leader(); }
  /// Whether all reachable watchers have applied the revision. False while a
  /// new leader may not know all watchers yet.
  bool is_confirmed(config::revision_number revision) const;
  /// The names of the known watchers that may be running without the revision.
  std::vector<std::string> watchers_without(
      config::revision_number revision) const {
    return watchers_.without(revision);
  }
  /// Operators' changes and reads, which any control node accepts.
  group_orders& orders() { return orders_; }
  /// The number of full or incremental configurations sent to watchers.
  std::uint64_t updates_sent() const { return watchers_.updates_sent(); }
  /// What watchers have asked of this node.
  const control_counters& counters() const { return load_.counters(); }
  /// `action` is called when all watchers have applied a revision, with the
  /// time since the revision was decided.
  void set_on_confirmed(std::function<void(std::chrono::milliseconds)> action) {
    watchers_.on_confirmed = std::move(action);
  }
  /// Handles the loss of the connection to the peer at `address`.
  void connection_lost(const std::string& address) {
    if (leads()) watchers_.handle_connection_lost(address);
  }

 private:
  struct pending_change {
    std::vector<answer_function> answers;
    monotonic_time since;
  };
  struct saved_poll {
    json params;
    monotonic_time at;
    /// The leader named in the answer, or empty.
    std::string named_leader;
  };
  struct founding {
    answer_function answer;
    std::map<std::string, std::uint64_t> incarnations;
    monotonic_time started_at;
  };

  void register_peer_methods();
  /// Forwards a poll to the leader for a node that may not be able to reach
  /// it. The answer returns through this node.
  void forward_poll(const json& params);
  void handle_poll(const json& params);
  /// Answers polls for as long as they may take in this tick.
  void answer_polls();
  /// Answers a poll: as the leader, or with the leader's name.
  void answer_poll(const queued_poll& poll);
  /// Records the poll of the node `poller` and sends it what it lacks. Returns
  /// the part of the answer that only the leader sends.
  json answer_as_leader(const std::string& poller, const queued_poll& poll);
  /// Whether the poll is from a watcher whose configuration is from another
  /// group than this one.
  bool is_foreign(const json& poll) const;
  /// Makes this group's revisions higher than that of a watcher whose group was
  /// lost, since watchers take nothing but newer revisions.
  void continue_after(const json& poll);
  /// Saves a poll received while this node does not lead, in case it or another
  /// node is elected soon.
  void save_poll(const std::string& address, const json& params);
  /// Answers saved polls again once another leader is known. A gateway that has
  /// just started serves no requests until a leader has answered it.
  void answer_saved_polls();
  /// Records the sender of a poll and returns its name. Returns an empty name
  /// when the sender is not in the directory and must send its full heartbeat.
  std::string identify_poller(const json& params);
  /// Answers the probe of a founding node with this node's incarnation and
  /// group.
  void handle_probe(const json& params);
  /// Records the answer to a founding probe, and founds the group after the
  /// last one. The founding fails if the probed node belongs to a group.
  void handle_probe_answer(const json& params);
  /// The revision and the ledgers, for an answer to a poll.
  json make_update() const;
  /// Sends a node the entries of the directory that it lacks.
  void send_directory(const std::string& address,
                      const directory_position& known,
                      const std::string& region);
  /// Adds these entries to an answer, for nodes that don't take messages with
  /// entries or are not reached directly.
  void add_directory(json& update, const directory_position& known,
                     const std::string& region);
  void on_decided(const config::audit_record& record);
  void finish_founding_if_ready();
  /// Selects the id and the members of a new ledger in `region`; no members
  /// when the region has too few live nodes.
  config::ledger_founding new_ledger(const std::string& region) const;
  /// Proposes ledgers for the regions that have none.
  void found_ledgers();
  /// Sends join requests to the control nodes while this replica needs to join.
  void request_join();
  /// Founds the group at the first start of the first seed, if the settings say
  /// so.
  void found_from_seeds();
  std::unique_ptr<consensus::storage> open_storage() const;
  /// Restarts the replica from disk after a failed write.
  void restart_after_failure();
  /// Logs when this leader's lease lapses while no other node is elected, and
  /// when it is renewed.
  void log_lease_changes();
  /// Handles the join request of a control node, or forwards it to the leader.
  void handle_join(const json& params);
  std::string address_of(const std::string& node) const;

  node_context& context_;
  group_maintenance maintenance_;
  control_load load_;
  config::config_state_machine machine_;
  std::unique_ptr<consensus::group_host> host_;
  consensus::group_formation formation_{context_.observed_addresses};
  config_watchers watchers_{context_, machine_,
                            [this] { return host_->core().group_id(); }};
  hold_proposer hold_proposer_{
      context_, machine_.store(), [this](config::change requested) {
        propose(std::move(requested), [](const result<json>&) {});
      }};
  group_orders orders_{context_, *this};
  poll_queue polls_;
  node_directory node_directory_;
  directory_publisher directory_publisher_{node_directory_};
  std::map<std::string, pending_change> pending_changes_;
  std::map<std::string, saved_poll> saved_polls_;  // the latest, by address
  std::optional<founding> founding_;
  monotonic_time next_join_;
  monotonic_time next_restart_;
  std::uint64_t next_read_ = 1;
  bool had_lease_ = false;
  monotonic_time lease_lapsed_at_;
  std::set<std::string> proposed_ledgers_;
};

}  // namespace trestlepost::node

// Keeps this node's copy of the configuration current: polls the leader,
// applies pushed changes, saves a copy on disk, and confirms the copy in the
// node state when the leader reports that it is current.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "configuration/newer_configuration.h"
#include "configuration/poll_scheduler.h"
#include "configuration/revision_lag.h"
#include "connections/request_numbers.h"
#include "disk/configuration_saver.h"
#include "leader_finder.h"
#include "node_context.h"
#include "node_directory.h"
#include "trestlepost/config/state_machine.h"

namespace trestlepost::node {

/// The watcher side of the configuration protocol; config_watchers is the
/// leader's side.
class watch_client {
 public:
  watch_client(node_context& context,
               std::function<membership::heartbeat()> make_heartbeat);

  void start();
  void tick();

  /// Name of the last known leader of the configuration group; may be empty.
  std::string leader() { return finder_.leader(context_.clock.now()); }
  const std::map<std::string, config::ledger_founding>& ledgers() const {
    return ledgers_;
  }
  /// Called after a new revision is in force on this node.
  std::function<void()> on_changed;

 private:
  /// A poll that has not been answered yet.
  struct pending_poll {
    std::uint64_t token = 0;
    std::string address;
    monotonic_time sent_at;
    /// The state of this node in the poll.
    std::string state;
  };
  /// The group that a leader leads, and its revision.
  struct leader_position {
    std::string group;
    config::revision_number revision = 0;
  };
  /// An answer that the leader confirmed while its revision was being saved.
  struct unsaved_answer {
    leader_position leader;
    monotonic_time poll_sent_at;
  };

  /// What decides when and whom this node polls.
  poll_situation situation();
  void poll(const planned_poll& planned);
  /// Adds this node's identity to a poll: the full heartbeat if the leader may
  /// not have this node's current state, else only the fields that show that
  /// the node is alive.
  void add_identity(json& params, const membership::heartbeat& beat) const;
  /// Handles an answer to a poll or a pushed update. Forwards it if it is meant
  /// for another watcher.
  void handle_update(const json& params);
  /// Records the leader that an answer names.
  void record_leader(const json& params);
  void apply(const json& update);
  /// Puts a configuration into force.
  void set_configuration(config::object_store next);
  void handle_saved(const config::object_store& saved,
                    const result<void>& written);
  /// Confirms this node's state if it has the leader's revision. `sent_at` is
  /// when the poll was sent that the leader confirmed.
  void confirm(const leader_position& leader, monotonic_time sent_at);
  /// Logs that an update could not be applied, and reports it to the leader in
  /// an immediate poll.
  void request_missed_update(const error& cause);
  /// Compares this node's revision with those of the other live nodes. Requests
  /// a newer one from them, and sets the node's state, if this node lags.
  void check_lag();
  /// Handles entries of the leader's node directory.
  void handle_directory(const json& params);
  /// Takes the entries of the node directory from a message.
  void record_entries(const json& update);
  /// Takes the ledger groups, and directory entries if it contains any, from
  /// the leader's part of an answer.
  void read_answer(const json& update);

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  leader_finder finder_;
  std::map<std::string, config::ledger_founding> ledgers_;
  std::deque<pending_poll> pending_polls_;
  request_numbers poll_numbers_;
  directory_position directory_position_;
  /// Whether an update since the last poll skipped revisions or was unreadable.
  bool update_missed_ = false;
  poll_scheduler scheduler_;
  /// The leader that a control node named last.
  std::string named_leader_;
  /// The state of this node that the leader has; empty if it may not know this
  /// node.
  std::string identified_state_;
  /// Null if this node has no data folder.
  std::unique_ptr<configuration_saver> saver_;
  std::optional<unsaved_answer> unsaved_answer_;
  revision_lag lag_;
  newer_configuration newer_;
  monotonic_time next_lag_check_;
};

}  // namespace trestlepost::node

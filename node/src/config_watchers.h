// Sends configuration changes to the watchers (nodes that poll for them) while
// this node leads the configuration group.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "node_context.h"
#include "trestlepost/config/confirmation_tracker.h"
#include "trestlepost/config/delivery_tracker.h"
#include "trestlepost/config/state_machine.h"
#include "watcher_paths.h"

namespace trestlepost::node {

/// The fields of a watcher's poll.
struct watcher_poll {
  std::string name;
  std::string address;
  /// Address of the control node that forwarded the poll; empty if the watcher
  /// sent it to this node.
  std::string via;
  /// Increases with each poll, also across restarts.
  std::uint64_t sequence = 0;
  /// The revision that the watcher has.
  config::revision_number revision = 0;
  /// Whether the watcher could not apply an update that it was sent.
  bool missed = false;
};

/// Sends each change to each watcher once. An update that several watchers need
/// is serialized and compressed once, so that a large change doesn't delay the
/// heartbeats of a leader with many watchers. A watcher that polls this node
/// directly is sent updates directly, even if other nodes also forward its
/// polls.
class config_watchers {
 public:
  /// `group_id` returns the id of the configuration group.
  config_watchers(node_context& context,
                  const config::config_state_machine& machine,
                  std::function<std::string()> group_id)
      : context_(context), machine_(machine), group_id_(std::move(group_id)) {}

  /// Processes a poll and sends the watcher the changes that it lacks.
  void handle_poll(const watcher_poll& poll);
  /// Sends each watcher the changes that it lacks. Call it after a change.
  void push_updates();
  /// Handles the loss of the connection to the peer at `address`: immediately
  /// sends the updates in flight on it again, instead of after a timeout.
  void handle_connection_lost(const std::string& address);
  /// Records that this node leads in `term`. In a new term all watchers and
  /// what they were sent are forgotten; a lease that lapses briefly within a
  /// term has no effect.
  void start_term(consensus::term_number term);

  /// The lowest revision among the nodes that may be running; the newest
  /// revision if there are none.
  config::revision_number lowest_revision() const;
  /// The names of the nodes that may be running and lack the revision.
  std::vector<std::string> without(config::revision_number revision) const;
  /// Called when all watchers have a revision, with the time since it was
  /// decided on this node.
  std::function<void(std::chrono::milliseconds)> on_confirmed =
      [](std::chrono::milliseconds) {};

  /// The number of full or incremental configurations sent to watchers.
  std::uint64_t updates_sent() const { return updates_sent_; }

 private:
  struct watcher {
    watcher_paths paths;
    std::uint64_t sequence = 0;
    monotonic_time polled_at{};
    config::delivery_tracker delivery{};
    /// The connection to the watcher was lost after its last poll.
    bool lost = false;
  };

  void apply_poll(watcher& it, const watcher_poll& poll);
  /// Whether the watcher may be running. A busy one polls late, and serves
  /// requests by the configuration that it has.
  bool may_be_running(const watcher& it) const;
  /// Calls `visit` with the name and the revision of each node that may be
  /// running: watchers and, in the first seconds of a term, gateways that have
  /// not polled this leader yet.
  void visit_running(
      const std::function<void(const std::string&, config::revision_number)>&
          visit) const;
  void report_confirmed();
  /// Sends the watcher the changes that it lacks, over the preferred path, or
  /// over all paths if they were sent before and count as lost.
  void send_pending(watcher& to);
  /// Sends the watcher the changes that it lacks, over each of `paths`.
  void send_pending_over(watcher& to,
                         const std::vector<watcher_paths::path>& paths);
  void send(const watcher& to, watcher_paths::path by,
            config::revision_number from);
  json make_message(config::revision_number from) const;
  /// The encoded message with the changes after `from`, from the cache if
  /// possible.
  const transport::encoded_notification& encoded_update(
      config::revision_number from);

  node_context& context_;
  const config::config_state_machine& machine_;
  std::function<std::string()> group_id_;
  std::map<std::string, watcher> watchers_;  // by name
  config::confirmation_tracker confirmations_;
  /// Messages that update to `encoded_revision_`, by the revision that they
  /// start from.
  std::map<config::revision_number, transport::encoded_notification>
      encoded_updates_;
  config::revision_number encoded_revision_ = 0;
  consensus::term_number term_ = 0;
  monotonic_time term_started_at_{};
  std::uint64_t updates_sent_ = 0;
};

}  // namespace trestlepost::node

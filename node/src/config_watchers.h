// The nodes that follow the configuration through this node while it leads.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node_context.h"
#include "trestlepost/config/confirmation_tracker.h"
#include "trestlepost/config/content_delivery.h"
#include "trestlepost/config/state_machine.h"
#include "watcher_ways.h"

namespace trestlepost::node {

/// What a node that polls says of itself.
struct watcher_poll {
  std::string name;
  std::string address;
  /// The control node that passed the poll on, or empty.
  std::string via;
  /// Rises with each poll, also across restarts.
  std::uint64_t sequence = 0;
  config::revision_number held = 0;
  /// It could not use what it was sent.
  bool missed = false;
};

/// Sends each change to each watcher once. What several watchers need is
/// written and compressed once, which keeps a leader of many watchers from
/// missing its heartbeats over a large change. A watcher that polls this node
/// itself is written to directly, though others pass its polls on as well.
class config_watchers {
 public:
  config_watchers(node_context& context,
                  const config::config_state_machine& machine)
      : context_(context), machine_(machine) {}

  /// Takes in a poll, and sends what is due.
  void polled(const watcher_poll& poll);
  /// Sends all watchers what is due after a change.
  void push();
  /// The connection to the peer at `address` was lost: what was sent there is
  /// sent again at once: an acknowledged change does not wait until it is taken
  /// for lost.
  void connection_lost(const std::string& address);
  /// This node leads in `term`: what was sent in another may not count. A lease
  /// that lapses for a moment changes nothing.
  void lead_in(consensus::term_number term);

  /// The revision that all watchers hold which were heard a moment ago; the
  /// newest when there is none.
  config::revision_number held_by_all() const;
  /// Called when all watchers have a revision: how long that took since it was
  /// decided here.
  std::function<void(std::chrono::milliseconds)> on_confirmed =
      [](std::chrono::milliseconds) {};

  /// How often a configuration, or changes of it, was sent.
  std::uint64_t contents_sent() const { return contents_sent_; }

 private:
  struct watcher {
    watcher_ways ways;
    std::uint64_t sequence = 0;
    monotonic_time seen_at{};
    config::content_delivery delivery{};
  };

  void take_newest(watcher& it, const watcher_poll& poll);
  void note_confirmed();
  void send_due(watcher& to);
  /// The same, by all of `ways`.
  void send_due_by(watcher& to, const std::vector<watcher_ways::way>& ways);
  void send(const watcher& to, watcher_ways::way by,
            config::revision_number from);
  json make_message(config::revision_number from) const;
  const transport::packed_notification& packed(config::revision_number from);

  node_context& context_;
  const config::config_state_machine& machine_;
  std::map<std::string, watcher> all_;  // by name
  config::confirmation_tracker confirmations_;
  /// Messages that lead to `packed_to_`, by the revision that they begin after.
  std::map<config::revision_number, transport::packed_notification> packed_;
  config::revision_number packed_to_ = 0;
  consensus::term_number term_ = 0;
  std::uint64_t contents_sent_ = 0;
};

}  // namespace trestlepost::node

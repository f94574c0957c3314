// Follows the configuration: polls the leader, takes pushed changes, keeps a
// copy on disk, and tells the node state when the leader confirms.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>

#include "leader_finder.h"
#include "node_context.h"
#include "poll_schedule.h"
#include "trestlepost/config/state_machine.h"

namespace trestlepost::node {

/// Keeps this node's copy of the configuration current.
class watch_client {
 public:
  watch_client(node_context& context,
               std::function<membership::heartbeat()> make_heartbeat);

  void start();
  void tick();

  /// The node that leads the configuration group, as far as is known.
  std::string leader() { return finder_.leader(context_.clock.now()); }
  const std::map<std::string, config::ledger_founding>& ledgers() const {
    return ledgers_;
  }
  /// Called after the configuration changed.
  std::function<void()> on_changed;

 private:
  struct question {
    std::uint64_t token = 0;
    monotonic_time asked_at;
  };

  poll_state situation() const;
  void poll(const std::string& address);
  /// Who asks: its heartbeat when it has news for control nodes, else a sign
  /// of life.
  void introduce(json& params, const std::string& address);
  void handle_update(const json& params);
  void apply(const json& update);
  /// What was sent could not be used: the next poll says so, at once.
  void ask_again(const error& cause);
  void take_book(const json& update);

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  leader_finder finder_;
  std::map<std::string, config::ledger_founding> ledgers_;
  std::deque<question> questions_;
  std::uint64_t next_token_ = 1;
  std::uint64_t book_version_ = 0;
  /// What this node was sent left a gap or could not be read.
  bool missed_ = false;
  monotonic_time next_poll_;
  /// What the node at this address was told of this one.
  std::string introduced_to_;
  std::string introduced_state_;
};

}  // namespace trestlepost::node

// Decides when a node polls for the configuration and which control node it
// polls.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"

namespace trestlepost::node {

/// What a node knows when it polls.
struct poll_situation {
  /// A leader has recently confirmed that the configuration is current, or that
  /// none exists yet.
  bool confirmed = false;
  /// The address of the last known leader, or empty.
  std::string leader;
  /// The addresses of all known control nodes.
  std::vector<std::string> control_nodes;
};

/// A poll to send.
struct planned_poll {
  std::string address;
  /// Whether a receiver that does not lead shall pass the poll on to the
  /// leader, which this node may not reach.
  bool forward = false;
};

/// Polls one control node at a time: the leader, or the others in turn while no
/// leader is known or the known one does not answer. Unanswered polls are
/// repeated with exponential delays up to the default interval, so a node never
/// polls more often while answers are late.
class poll_scheduler {
 public:
  /// `default_interval` is the interval of a confirmed node.
  poll_scheduler(std::chrono::milliseconds default_interval,
                 random_source& random);

  bool is_due(monotonic_time now) const {
    return due_now_ || now >= next_poll_at_;
  }
  /// The poll to send now; nullopt if none is due or no control node may be
  /// polled yet.
  std::optional<planned_poll> next(const poll_situation& situation,
                                   monotonic_time now);
  /// Makes a poll due now, for news that the leader waits for. Such a poll is
  /// also sent if the last one is unanswered.
  void poll_now() { due_now_ = true; }
  /// Records that the control node at `address` answered, as the leader or
  /// with the name of one.
  void record_answer(const std::string& address);
  /// Records that a leader has confirmed the configuration.
  void record_confirmation() { unconfirmed_polls_ = 0; }
  /// Records that another leader than before was named, which is polled at
  /// once. Further ones within the default interval are not: control nodes that
  /// name each other may all be wrong.
  void record_new_leader(monotonic_time now);

 private:
  /// A control node that has not answered yet.
  struct unanswered_polls {
    int count = 0;
    monotonic_time retry_at;
  };

  std::optional<planned_poll> choose(const poll_situation& situation,
                                     monotonic_time now);
  std::optional<std::string> next_in_turn(
      const std::vector<std::string>& control_nodes, const std::string& leader,
      monotonic_time now);
  /// Whether the last poll to `address` is answered or may be repeated.
  bool may_poll(const std::string& address, monotonic_time now) const;
  void record_sent(const std::string& address, monotonic_time now);
  std::chrono::milliseconds interval(bool confirmed) const;
  /// Varies an interval, so that nodes that start together spread their polls.
  std::chrono::milliseconds with_jitter(std::chrono::milliseconds value);

  std::chrono::milliseconds default_interval_;
  random_source& random_;
  std::map<std::string, unanswered_polls> unanswered_;  // by address
  std::size_t next_index_ = 0;
  int unconfirmed_polls_ = 0;  // since the last confirmation
  std::optional<monotonic_time> new_leader_at_;
  monotonic_time next_poll_at_;
  bool due_now_ = true;
};

}  // namespace trestlepost::node

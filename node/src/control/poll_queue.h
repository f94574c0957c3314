// Polls that wait until a control node has time for them.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"

namespace trestlepost::node {

/// A poll of the node that accepts peers at `address`, received through the
/// control node `via` or, if that is empty, directly.
struct queued_poll {
  std::string address;
  std::string via;
  json message;
};

/// Bounds the time that polls take in each tick, so that the group's own
/// messages, which keep the leader's lease, are handled in time however many
/// nodes poll. Keeps the newest poll of each sender: older ones are outdated.
class poll_queue {
 public:
  void push(queued_poll poll);
  /// The poll that has waited longest; nullopt if there is none or if polls
  /// have used up their time in this tick.
  std::optional<queued_poll> pop();
  /// Records that answering a poll took `duration`.
  void record_duration(std::chrono::nanoseconds duration) { used_ += duration; }
  /// Gives polls their time of the next tick.
  void start_tick() { used_ = {}; }

  std::size_t size() const { return polls_.size(); }

 private:
  using sender = std::pair<std::string, std::string>;

  std::deque<sender> order_;
  std::map<sender, json> polls_;
  std::chrono::nanoseconds used_{};
};

}  // namespace trestlepost::node

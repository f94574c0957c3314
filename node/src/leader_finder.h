// Keeps the name of the leader of the configuration group while it answers.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

/// Tracks the last known leader and whether it still answers.
class leader_finder {
 public:
  /// A leader that has not confirmed its lead for `timeout` is dropped.
  explicit leader_finder(std::chrono::milliseconds timeout)
      : timeout_(timeout) {}

  /// Records the leader named by a control node. True when it is a new one.
  bool set_leader(const std::string& leader, monotonic_time now);
  /// Records that the leader confirmed that it leads.
  void confirmed(monotonic_time now) { last_confirmed_at_ = now; }

  /// The leader at `now`; empty if it is not known.
  const std::string& leader(monotonic_time now);

 private:
  std::chrono::milliseconds timeout_;
  std::string leader_;
  monotonic_time last_confirmed_at_;  // or when it was named
};

}  // namespace trestlepost::node

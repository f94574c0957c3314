// Finds the leader of the configuration group. While no leader answers, control
// nodes are queried in turn until one of them names the leader.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

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

  /// The leader at `now`. When empty, query the control node that `select_next`
  /// returns.
  const std::string& leader(monotonic_time now);
  /// Selects from `all` in round-robin order; empty when `all` is.
  std::string select_next(const std::vector<std::string>& all);

 private:
  std::chrono::milliseconds timeout_;
  std::string leader_;
  monotonic_time last_confirmed_at_;  // or when it was named
  std::size_t next_index_ = 0;
};

}  // namespace trestlepost::node

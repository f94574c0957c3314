// Whom a node asks for the configuration: the leader, or while none answers,
// one control node after the other until one names the leader.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

class leader_finder {
 public:
  /// A leader that has not confirmed anything for `patience` is given up.
  explicit leader_finder(std::chrono::milliseconds patience)
      : patience_(patience) {}

  /// A control node names the leader. True when this is news.
  bool learn(const std::string& leader, monotonic_time now);
  /// The leader confirmed that it leads.
  void confirmed(monotonic_time now) { heard_at_ = now; }

  /// The leader to ask at `now`; empty: ask `next_of` all control nodes.
  const std::string& leader(monotonic_time now);
  /// The next of `all` in turn; empty when there are none.
  std::string next_of(const std::vector<std::string>& all);

 private:
  std::chrono::milliseconds patience_;
  std::string leader_;
  monotonic_time heard_at_;  // or when it was learned
  std::size_t next_ = 0;
};

}  // namespace trestlepost::node

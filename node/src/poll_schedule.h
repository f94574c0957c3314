// Decides when a node next polls for the configuration and which control nodes
// it polls.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "leader_finder.h"

namespace trestlepost::node {

/// The state of a node's configuration at the time of a poll.
struct poll_state {
  bool has_configuration = false;
  /// A leader has recently confirmed that the configuration is current, or that
  /// none exists yet.
  bool confirmed = false;
};

/// Time until the next poll. An unconfirmed node sends no requests to other
/// regions and accepts no configuration, so it polls often. `default_interval`
/// is the interval of a confirmed node; it also applies while no configuration
/// exists, since the first one is pushed.
std::chrono::milliseconds time_to_next_poll(
    const poll_state& state, std::chrono::milliseconds default_interval);

/// The addresses to poll now. A node without a configuration polls all control
/// nodes: if it polled them in turn, each one that is down would cost a connect
/// timeout of 350 ms. A node that has a configuration, or to which a leader has
/// reported that none exists yet, polls the leader, or the next control node in
/// turn while no leader is known: when 300 nodes all polled five control nodes,
/// the overloaded leader kept losing its lease and the first plan was never
/// acknowledged.
std::vector<std::string> poll_targets(const poll_state& state,
                                      const std::string& leader_address,
                                      const std::vector<std::string>& all,
                                      leader_finder& finder);

}  // namespace trestlepost::node

// How often a node asks the control nodes for the configuration, and whom.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "leader_finder.h"

namespace trestlepost::node {

/// What a node has when it asks.
struct poll_situation {
  bool has_configuration = false;
  /// A leader confirmed not long ago that the configuration is current, or
  /// that there is none yet.
  bool confirmed = false;
};

/// Time until the next poll. Without a confirmation none of a node's callers'
/// requests cross regions, and it takes no configuration: until then it asks
/// often. `usual`: the interval when all is well, which is also enough while
/// there is no configuration to have, since the first one is pushed.
std::chrono::milliseconds time_to_next_poll(const poll_situation& now,
                                            std::chrono::milliseconds usual);

/// The addresses to ask now. A node without any configuration asks all, unless
/// a leader told it that there is none yet: those it would ask in turn may be
/// without power, which shows only after a connection's timeout, some
/// 350 ms for each. Any other node asks the leader, or while none is known the
/// next one in turn: 300 nodes that all asked five control nodes kept the
/// leader from its lease, and the first plan was never acknowledged.
std::vector<std::string> whom_to_ask(const poll_situation& now,
                                     const std::string& leader_address,
                                     const std::vector<std::string>& all,
                                     leader_finder& finder);

}  // namespace trestlepost::node

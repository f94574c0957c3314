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
  /// A leader confirmed not long ago that the configuration is current.
  bool confirmed = false;
};

/// Time until the next poll. Without a configuration a node serves nobody,
/// and without a confirmation none of its callers' requests cross regions:
/// until then it asks often. `usual`: the interval when all is well.
std::chrono::milliseconds time_to_next_poll(const poll_situation& now,
                                            std::chrono::milliseconds usual);

/// The addresses to ask now. A node without any configuration asks all: those
/// it would ask in turn may be without power, which shows only after the time
/// limit of a connection, some 350 ms for each. One that has a configuration
/// asks the leader, or while none is known the next one in turn.
std::vector<std::string> whom_to_ask(const poll_situation& now,
                                     const std::string& leader_address,
                                     const std::vector<std::string>& all,
                                     leader_finder& finder);

}  // namespace trestlepost::node

// What a control node does beside its replica of the configuration group: it
// stays connected to the members, and logs whom it takes for the leader.
#pragma once

#include <functional>
#include <string>

#include "node_context.h"
#include "trestlepost/consensus/replica.h"

namespace trestlepost::node {

class group_upkeep {
 public:
  /// `address_of` tells a node's address for peers, or an empty one.
  group_upkeep(node_context& context,
               std::function<std::string(const std::string&)> address_of)
      : context_(context), address_of_(std::move(address_of)) {}

  void tick(const consensus::replica& core);

 private:
  /// Elections and changes must not wait for connections.
  void keep_members_connected(const consensus::replica& core);
  /// Logs the leader when it changes; empty when there is none.
  void note_leader(const consensus::replica& core);

  node_context& context_;
  std::function<std::string(const std::string&)> address_of_;
  monotonic_time next_keep_;
  std::string leader_;
};

}  // namespace trestlepost::node

// Keeps a control node connected to the members of the configuration group and
// logs changes of the group's leader.
#pragma once

#include <functional>
#include <string>

#include "node_context.h"
#include "trestlepost/consensus/replica.h"

namespace trestlepost::node {

class group_maintenance {
 public:
  /// `address_of` returns a node's peer address, or an empty string.
  group_maintenance(node_context& context,
                    std::function<std::string(const std::string&)> address_of)
      : context_(context), address_of_(std::move(address_of)) {}

  void tick(const consensus::replica& core);

 private:
  /// Keeps connections open so that elections and changes need not wait for
  /// them.
  void keep_members_connected(const consensus::replica& core);
  /// Logs a change of leader; the name is empty when there is none.
  void log_leader_change(const consensus::replica& core);

  node_context& context_;
  std::function<std::string(const std::string&)> address_of_;
  monotonic_time next_connect_;
  std::string leader_;
};

}  // namespace trestlepost::node

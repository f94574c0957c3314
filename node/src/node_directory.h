// The leader's directory of the nodes that have polled it. Each node is sent
// the entries that it needs.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trestlepost/base/json.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::node {

/// Assigns a version to each change of an entry, so that a node is sent only
/// the entries that have changed since its last poll.
class node_directory {
 public:
  /// Adds or updates the entry of a node.
  void record(const membership::node_info& info);
  /// The node with that name, or null.
  const membership::node_info* find(const std::string& name) const;
  /// Adds to `update` the entries changed since `version` that a node in
  /// `region` needs: nodes of its region, control nodes, and nodes with a disk
  /// in other regions, which may be relays.
  void add_changes(json& update, std::uint64_t version,
                   const std::string& region) const;

 private:
  struct entry {
    membership::node_info info;
    std::uint64_t version = 0;
  };

  std::map<std::string, entry> entries_;  // by name
  std::uint64_t version_ = 0;
};

}  // namespace trestlepost::node

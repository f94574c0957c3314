// The leader's directory of the nodes that have polled it. Each node is sent
// the entries that it needs.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trestlepost/base/json.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::node {

/// The notification that contains entries of the directory.
inline constexpr char directory_method[] = "config.directory";

/// How much of a leader's directory a node has. Versions of different terms are
/// not comparable, since each leader counts the changes that it has recorded.
struct directory_position {
  std::uint64_t term = 0;  // of the leader; 0 if unknown
  std::uint64_t version = 0;
};

/// Reads the position that an update or a poll contains.
directory_position directory_position_from(const json& message);
/// Adds a position to an update or a poll.
void add_position(json& message, const directory_position& position);

/// Assigns a version to each change of an entry, so that a node is sent only
/// the entries that have changed since its last poll.
class node_directory {
 public:
  /// Adds or updates the entry of a node.
  void record(const membership::node_info& info);
  /// The node with that name, or null.
  const membership::node_info* find(const std::string& name) const;
  /// The number of entries.
  std::size_t size() const { return entries_.size(); }
  /// The number of changes recorded so far.
  std::uint64_t version() const { return version_; }
  /// The version after which a node at position `known` lacks changes. `term`
  /// is that of this leader.
  std::uint64_t first_missing(const directory_position& known,
                              std::uint64_t term) const;
  /// Adds to `update` the entries changed after version `from` that a node in
  /// `region` needs: nodes of its region, control nodes, and nodes with a disk
  /// in other regions, which may be relays.
  void add_changes(json& update, std::uint64_t from,
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

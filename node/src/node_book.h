// The leader's book of the nodes that polled it, from which it tells each
// node of those that concern it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "trestlepost/base/json.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::node {

/// Numbers the changes of its nodes, so that each asker is sent only what is
/// new to it.
class node_book {
 public:
  /// Takes in what a node says of itself.
  void record(const membership::node_info& info);
  /// The node of that name, or null.
  const membership::node_info* find(const std::string& name) const;
  /// Adds to `update` what is new for an asker in `region` that has the book
  /// of `version`.
  void add_news(json& update, std::uint64_t version,
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

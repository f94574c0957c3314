// Sends nodes the entries of the leader's node directory that they lack.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "node_directory.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

/// Encodes the same entries once for all nodes of a region that lack them. New
/// entries are published in rounds: when all nodes start at once, each adds an
/// entry that all others lack.
class directory_publisher {
 public:
  /// A notification with entries, and how many.
  struct published {
    transport::encoded_notification message;
    std::size_t entries = 0;
  };

  explicit directory_publisher(const node_directory& directory)
      : directory_(directory) {}

  /// The entries published since `known` that a node in `region` needs; null if
  /// there are none. `term` is that of this leader.
  const published* changes_for(const directory_position& known,
                               std::uint64_t term, const std::string& region,
                               monotonic_time now);

 private:
  void publish_if_due(std::uint64_t term, monotonic_time now);

  const node_directory& directory_;
  std::uint64_t published_version_ = 0;
  std::uint64_t term_ = 0;
  monotonic_time published_at_;
  /// By region and by the version from which the entries start.
  std::map<std::pair<std::string, std::uint64_t>, published> encoded_;
};

}  // namespace trestlepost::node

// Chooses the nodes of its region to which a node sends its heartbeats
// (relays): the highest by rendezvous hash among those that respond.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership {

/// A node of the region that can be a relay.
struct relay_candidate {
  std::string name;
  /// Chosen only if there is no other candidate.
  bool leaving = false;
  /// A control node; it serves no callers.
  bool control = false;
  /// Not heard of, or not for so long that it counts as dead.
  bool silent = false;
};

/// Returns the relays, first one first: the control node with the highest
/// rendezvous score, because control nodes have spare capacity, then the
/// highest gateway, because a fault rarely affects both kinds. If a kind is
/// missing, the highest of the remaining candidates takes its place.
std::vector<std::string> rank_relays(const std::string& region,
                                     std::vector<relay_candidate> candidates);

/// Chooses the relays of this node and tracks which of them respond.
class relay_selector {
 public:
  /// Silent candidates are chosen only if there are too few others. Candidates
  /// without a response for `unresponsive_after` are ranked last.
  std::vector<std::string> choose(const std::string& region,
                                  std::vector<relay_candidate> candidates,
                                  std::chrono::milliseconds unresponsive_after,
                                  monotonic_time now) const;
  /// Returns the silent candidates that would be relays if they responded.
  /// They get heartbeats too: nodes that have heard only of each other, after a
  /// start or a partition, would otherwise never join the rest of their region.
  std::vector<std::string> missing_relays(
      const std::string& region, std::vector<relay_candidate> candidates,
      std::chrono::milliseconds unresponsive_after, monotonic_time now) const;
  /// Records that a heartbeat was sent to `name`.
  void heartbeat_sent(const std::string& name, monotonic_time now);
  /// Records that a digest of `name` was received.
  void digest_received(const std::string& name);

 private:
  bool is_unresponsive(const std::string& name,
                       std::chrono::milliseconds unresponsive_after,
                       monotonic_time now) const;

  /// Time of the first heartbeat without a response, by candidate.
  std::map<std::string, monotonic_time> unanswered_since_;
};

/// Time between two heartbeats of a node, given the number of nodes in its
/// region. It grows with the region to limit the load on relays, but five
/// heartbeats always fit into the time after which a silent node is suspected.
std::chrono::milliseconds scaled_heartbeat_interval(
    std::chrono::milliseconds base, std::size_t nodes,
    const suspicion_options& suspicion);

}  // namespace trestlepost::membership

// Which nodes of its region a node sends its heartbeats to: the highest by
// rendezvous hash among those that answer.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_table.h"

namespace trestlepost::membership {

/// A node of the region that may be chosen.
struct relay_candidate {
  std::string name;
  /// Only when there is no other.
  bool leaving = false;
  /// A control node: it serves no callers.
  bool control = false;
};

/// The relays among `candidates`, the first one first: the highest control
/// node by rendezvous hash, which has the time, and the highest gateway, as
/// what strikes one kind seldom strikes the other. Where a kind is missing,
/// the highest of those left.
std::vector<std::string> rank_relays(const std::string& region,
                                     std::vector<relay_candidate> candidates);

/// Chooses the relays, and notes which of them answer.
class relay_choice {
 public:
  /// `mute_after` without an answer puts a candidate behind all others.
  std::vector<std::string> choose(const std::string& region,
                                  std::vector<relay_candidate> candidates,
                                  std::chrono::milliseconds mute_after,
                                  monotonic_time now) const;
  /// A heartbeat was sent to `name`.
  void asked(const std::string& name, monotonic_time now);
  /// A digest of `name` came.
  void answered(const std::string& name);

 private:
  bool is_mute(const std::string& name, std::chrono::milliseconds mute_after,
               monotonic_time now) const;

  /// Since when a candidate has been asked without an answer.
  std::map<std::string, monotonic_time> asked_since_;
};

/// Time between two heartbeats of a node in a region of so many: relays of a
/// large one are spared, but five heartbeats fit into the time after which a
/// silent node is suspected.
std::chrono::milliseconds beat_interval(std::chrono::milliseconds base,
                                        std::size_t nodes,
                                        const suspicion_options& suspicion);

}  // namespace trestlepost::membership

// Founds a consensus group: accepts the nodes that request to join, records the
// members' addresses, and decides when the group has enough voters to
// acknowledge changes.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus {

/// Voters that a group needs to tolerate the loss of `losses` of them at once.
constexpr std::size_t voters_to_tolerate(std::size_t losses) {
  return 2 * losses + 1;
}

/// Decides about joins and member addresses for the replica of a `group_host`.
/// Sends no messages itself.
class group_formation {
 public:
  /// `observed_addresses` maps each node to the sender address of its last
  /// message; it must outlive this object.
  explicit group_formation(
      std::map<std::string, std::string>& observed_addresses)
      : observed_addresses_(observed_addresses) {}

  /// Updates whether this replica leads, and its own address. Call it at every
  /// tick.
  void update(group_host& host, monotonic_time now, bool leads,
              const std::string& own_address);
  /// Records that a message of `from` came from `address`; does nothing if
  /// `address` is empty.
  void record_address(group_host& host, monotonic_time now,
                      const replica_id& from, const std::string& address);
  /// Last known address of a node, from its messages or else from the member
  /// list; empty if unknown.
  std::string address_of(const group_host& host, const std::string& node) const;
  /// Returns false if this replica does not lead; the request must then be
  /// forwarded to the leader.
  bool handle_join(group_host& host, monotonic_time now,
                   const replica_id& joiner, const std::string& address);
  /// Whether a group that has acknowledged no change yet has `min_voters`
  /// voters, or the timeout of the wait for them has expired.
  bool is_formed(const group_host& host, monotonic_time now,
                 std::size_t min_voters) const;
  /// Start of this replica's current leadership.
  std::optional<monotonic_time> leading_since() const { return leading_since_; }

 private:
  void update_member_address(group_host& host, monotonic_time now,
                             const replica_id& id, const std::string& address);

  std::map<std::string, std::string>& observed_addresses_;
  std::optional<monotonic_time> leading_since_;
  monotonic_time last_join_at_;
};

}  // namespace trestlepost::consensus

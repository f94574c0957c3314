// Growth of a group from its first seed: who asks to join, where the members
// listen, and from when on the group may acknowledge changes.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus {

/// The replicas that a group needs to bear `losses` of them at once.
constexpr std::size_t voters_to_bear(std::size_t losses) {
  return 2 * losses + 1;
}

/// Decides for the replica of a group_host; it sends nothing itself.
class group_growth {
 public:
  /// `heard_from` keeps the address from which each node wrote last.
  explicit group_growth(std::map<std::string, std::string>& heard_from)
      : heard_from_(heard_from) {}

  /// Tells whether this replica leads now, and where it listens; call it at
  /// every tick.
  void observe(group_host& host, monotonic_time now, bool leads,
               const std::string& own_address);
  /// A message of `from` came from `address`; empty when it does not say.
  void heard(group_host& host, monotonic_time now, const replica_id& from,
             const std::string& address);
  /// Where a node listens, as far as its messages or the members tell.
  std::string address_of(const group_host& host, const std::string& node) const;
  /// False when this replica does not lead: pass the question on.
  bool handle_join(group_host& host, monotonic_time now,
                   const replica_id& joiner, const std::string& address);
  /// Whether a group without any acknowledged change has grown to
  /// `least_voters`, or has waited for them long enough.
  bool has_grown(const group_host& host, monotonic_time now,
                 std::size_t least_voters) const;
  /// Since when this replica leads without a break.
  std::optional<monotonic_time> leading_since() const { return leading_since_; }

 private:
  void list_where_moved(group_host& host, monotonic_time now,
                        const replica_id& id, const std::string& address);

  std::map<std::string, std::string>& heard_from_;
  std::optional<monotonic_time> leading_since_;
  monotonic_time last_join_heard_;
};

}  // namespace trestlepost::consensus

// Applies the digests of relays to the node table. Digests of several relays
// merge in any order: a node's state comes from its heartbeat with the highest
// sequence, and its last contact is the latest that any relay reports.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/membership/region_digest.h"

namespace trestlepost::membership {

/// Result of reading a digest.
enum class digest_outcome {
  applied,
  stale,  // a duplicate, or a newer one was read before
  gap     // an earlier digest is missing; the next request covers it
};

/// Tracks, for each relay, the version of its digests that this node has.
class digest_reader {
 public:
  /// Applies a digest to `table`; `self` is the node that reads it.
  digest_outcome apply(const region_digest& in, const node_info& self,
                       node_table& table, monotonic_time now);

  /// The digest request to send to a relay.
  digest_request request_for(const std::string& relay) const;
  /// Records the heartbeat sent to a relay along with the request.
  void record_sent(const std::string& relay,
                   std::shared_ptr<const heartbeat> sent);
  /// Removes from the sums and reports of a digest the values that this node
  /// has sent to the relay, if they include them.
  void exclude_own(region_digest& in) const;

  /// Of the sums received since `oldest`, those over the most nodes; or null.
  const endpoint_sums* best_sums(monotonic_time oldest) const;

 private:
  struct relay_view {
    std::uint64_t incarnation = 0;
    std::uint64_t previous_incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::set<std::string> names;
    endpoint_sums sums;
    monotonic_time sums_received_at;
  };

  /// Returns false if `in` is not newer than what `view` has. A restart of the
  /// relay resets the view.
  static bool advance(relay_view& view, const region_digest& in);

  std::map<std::string, relay_view> relays_;
  /// The last heartbeat sent to each relay.
  std::map<std::string, std::shared_ptr<const heartbeat>> sent_;
};

}  // namespace trestlepost::membership

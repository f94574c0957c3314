// Takes digests into the table of nodes. Digests of several relays merge in
// any order: news by the sequence of the node's own heartbeat, life by the
// latest time at which any relay heard it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/membership/region_digest.h"

namespace trestlepost::membership {

/// What became of a digest that was read.
enum class digest_outcome {
  taken,
  old,     // doubled or overtaken
  missing  // an earlier one is missing: the next ask brings it
};

/// Keeps, for each relay, the version of its digests that this node has.
class digest_reader {
 public:
  /// `self` is the node that reads.
  digest_outcome take(const region_digest& in, const node_info& self,
                      node_table& table, monotonic_time now);

  /// What to ask of a relay.
  digest_ask ask_for(const std::string& relay) const;

  /// The sums over most nodes that were told since `oldest`, or null.
  const endpoint_sums* best_sums(monotonic_time oldest) const;

 private:
  struct relay_view {
    std::uint64_t life = 0;
    std::uint64_t earlier_life = 0;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0;
    std::set<std::string> names;
    endpoint_sums sums;
    monotonic_time summed_at;
  };

  /// Whether `in` is newer than what `view` has; a new process of the relay
  /// begins a new view.
  static bool begin(relay_view& view, const region_digest& in);

  std::map<std::string, relay_view> relays_;
};

}  // namespace trestlepost::membership

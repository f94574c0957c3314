// Decides, on a relay, what a digest tells each receiver.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/membership/region_digest.h"

namespace trestlepost::membership {

/// Numbers the changes of its region's nodes, so that each receiver is told
/// only those after the last version that it has.
class digest_writer {
 public:
  /// `life` differs for each start of the process.
  digest_writer(const node_info& self, std::uint64_t life)
      : relay_(self.name), region_(self.region), life_(life) {}

  /// Takes in what the table knows at first hand: what other relays of the
  /// region say is theirs to tell, else a dead node could be kept alive by
  /// two relays that hear of it from each other.
  void update(const node_table& table, std::chrono::milliseconds late_after,
              monotonic_time now);

  /// The news for one that has what `ask` says; of one region, or of all.
  region_digest next(const digest_ask& ask,
                     const std::optional<std::string>& region);
  /// The last version that touched a node of `region`.
  std::uint64_t version_of(const std::string& region) const;
  std::uint64_t life() const { return life_; }

 private:
  struct entry {
    digest_row row;
    std::uint64_t version = 0;       // of the last change
    std::uint64_t info_version = 0;  // of the last change of `row.node`
    std::chrono::milliseconds age{0};
  };

  /// Gives `it` a new version when `record` differs from what was told.
  void update_one(entry& it, const node_record& record, bool gone);

  std::string relay_;
  std::string region_;
  std::uint64_t life_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_ = 0;
  std::chrono::milliseconds late_after_{0};
  std::map<std::string, entry> entries_;
};

}  // namespace trestlepost::membership

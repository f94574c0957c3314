// Builds the digests that a relay sends: tracks the changes of nodes by
// version, so that each receiver is sent only the changes that it lacks.
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

/// Assigns version numbers to changes of nodes, so that a digest contains only
/// the changes after the version that its receiver has.
class digest_writer {
 public:
  /// `incarnation` identifies this process; it differs for each start.
  digest_writer(const node_info& self, std::uint64_t incarnation)
      : relay_(self.name), region_(self.region), incarnation_(incarnation) {}

  /// Updates the rows from nodes with first-hand contact. What another relay of
  /// the region has reported is omitted: two relays could otherwise keep a
  /// dead node alive by reporting it to each other.
  void update(const node_table& table, std::chrono::milliseconds late_after,
              monotonic_time now);

  /// The version after which a receiver with the state `request` lacks the
  /// changes; 0 if it lacks all.
  std::uint64_t base_version_for(const digest_request& request) const;
  /// Builds the digest for a receiver with the state `request`, for one region
  /// or for all.
  region_digest make_digest(const digest_request& request,
                            const std::optional<std::string>& region);
  /// The last version that changed a node of `region`.
  std::uint64_t version_of(const std::string& region) const;
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct entry {
    digest_row row;
    std::uint64_t version = 0;       // of the last change
    std::uint64_t info_version = 0;  // of the last change of `row.node`
    std::chrono::milliseconds age{0};
  };

  /// Assigns a new version to `it` if `record` differs from the row.
  void update_entry(entry& it, const node_record& record, bool dead);

  std::string relay_;
  std::string region_;
  std::uint64_t incarnation_;
  std::uint64_t sequence_ = 0;
  std::uint64_t version_ = 0;
  std::chrono::milliseconds late_after_{0};
  std::map<std::string, entry> entries_;
};

}  // namespace trestlepost::membership

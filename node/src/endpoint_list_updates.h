// Replicates the platform's endpoint list from the gateway that reads it to the
// other gateways of its region: which gateway reads, which changes each of the
// others is missing, and how they are applied. Sends nothing itself.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"
#include "trestlepost/base/random.h"
#include "trestlepost/config/change.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::node {

/// An endpoint with the time at which its durations were measured.
struct timestamped_endpoint {
  surface::listed_endpoint endpoint;
  monotonic_time at;

  /// The endpoint with its remaining durations as of `now`.
  surface::listed_endpoint as_of(monotonic_time now) const;
};

/// The changes of the list after version `since`; the full list when that is
/// 0.
struct endpoint_list_update {
  std::string reader;
  std::uint64_t incarnation = 0;  // random id of the reader's process
  std::uint64_t since = 0;
  std::uint64_t version = 0;
  /// The list reflects the effects of the configuration up to this revision.
  config::revision_number covered_revision = 0;
  std::vector<surface::listed_endpoint> endpoints;
  std::vector<std::string> removed;  // endpoint identities
};

json to_json(const endpoint_list_update& value);
/// Fails when the update is inconsistent or incomplete.
result<endpoint_list_update> endpoint_list_update_from(const json& value);

/// Poll intervals without an update after which a gateway reads the list
/// itself.
inline constexpr int reader_timeout_intervals = 3;

/// The position of one gateway in the region's order of readers. The first
/// gateway reads the list; when it fails, the next one in order takes over.
struct reader_ranking {
  std::string first;
  /// The number of gateways that precede this one.
  std::size_t own_rank = 0;
};

/// Ranks the gateways of a region by rendezvous hashing, so that all agree on
/// the order without messages. `gateways` includes `self`.
reader_ranking rank_readers(const std::string& region,
                            const std::set<std::string>& gateways,
                            const std::string& self);

/// How long a gateway waits for an update before it reads the list itself.
/// `has_list`: it has a list already. `first_start`: the whole deployment
/// starts for the first time. The wait grows with `rank`, so that a gateway
/// receives the update of the one that took over before its own wait ends. If
/// all read at once when the reader is late, each would send the list to all
/// others, and the next reader would be late too.
std::chrono::milliseconds reader_timeout(bool has_list, bool first_start,
                                         std::chrono::milliseconds interval,
                                         std::size_t rank = 0);

/// Delay before the list is read again after a failed read.
std::chrono::milliseconds reread_delay(bool has_list,
                                       std::chrono::milliseconds interval,
                                       random_source& random);

/// Used by the reader: numbers the changes of the list and tracks the version
/// that each gateway was sent.
class endpoint_list_publisher {
 public:
  endpoint_list_publisher(std::string reader, std::uint64_t incarnation)
      : reader_(std::move(reader)), incarnation_(incarnation) {}

  /// Replaces the list by the one read at `now`, which reflects the
  /// configuration up to `covered_revision`.
  void update(const std::vector<surface::listed_endpoint>& all,
              config::revision_number covered_revision, monotonic_time now);
  /// Returns the version after which the next update to `gateway` starts, and
  /// records the current version as sent. 0 stands for the full list, which
  /// each gateway gets at regular intervals, at a different time than others.
  std::uint64_t start_update(const std::string& gateway, monotonic_time now);
  /// The changes after version `since`; the same for every gateway at that
  /// version.
  endpoint_list_update update_since(std::uint64_t since,
                                    monotonic_time now) const;
  /// Makes the next update to `gateway` a full list.
  void reset(const std::string& gateway) { sent_.erase(gateway); }
  bool empty() const { return version_ == 0; }

 private:
  struct entry {
    timestamped_endpoint timestamped;
    std::uint64_t version = 0;
    bool removed = false;
  };
  struct sent_state {
    std::uint64_t version = 0;
    monotonic_time full_sent_at;
  };

  std::string reader_;
  std::uint64_t incarnation_;
  std::uint64_t version_ = 0;
  config::revision_number covered_revision_ = 0;
  std::map<std::string, entry> entries_;
  std::map<std::string, sent_state> sent_;
};

/// Used by the other gateways: the list as received from its readers.
class endpoint_list_copy {
 public:
  /// Applies an update. False when an earlier one is missing: the full list
  /// must be requested.
  bool apply(const endpoint_list_update& in, monotonic_time now);
  /// The list of the reader that sent the last update.
  std::vector<surface::listed_endpoint> all(monotonic_time now) const;
  /// The configuration revision that this list reflects.
  config::revision_number covered_revision() const;

 private:
  struct reader_list {
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;
    config::revision_number covered_revision = 0;
    std::map<std::string, timestamped_endpoint> endpoints;
  };

  std::string last_reader_;
  std::map<std::string, reader_list> lists_;
};

}  // namespace trestlepost::node

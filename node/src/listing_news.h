// What changed in the list of endpoints, from the gateway that reads it to
// the others of its region. The decisions only; listing_service sends.
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

/// An endpoint with the time to which its spans of time refer.
struct dated_endpoint {
  surface::listed_endpoint endpoint;
  monotonic_time at;

  /// The endpoint with its spans as they are at `now`.
  surface::listed_endpoint as_of(monotonic_time now) const;
};

/// What has changed after version `since`; all of it when that is 0.
struct listing_news {
  std::string reader;
  std::uint64_t life = 0;  // of the reader's process
  std::uint64_t since = 0;
  std::uint64_t version = 0;
  /// The list shows what the configuration did to endpoints up to this
  /// revision.
  config::revision_number covers = 0;
  std::vector<surface::listed_endpoint> endpoints;
  std::vector<std::string> gone;  // names of lives
};

json to_json(const listing_news& value);
/// Refuses news that contradict themselves.
result<listing_news> listing_news_from(const json& value);

/// A gateway that was told nothing for so many intervals reads for itself.
inline constexpr int silent_intervals = 3;

/// The order in which the gateways of a region read the list, as one of them
/// sees it: the first reads, and the others take its place one after the other.
struct reading_order {
  std::string first;
  /// How many gateways come before the one that asks.
  std::size_t own_rank = 0;
};

/// `gateways` holds `self` too.
reading_order order_of_reading(const std::string& region,
                               const std::set<std::string>& gateways,
                               const std::string& self);

/// For how long a gateway waits to be told before it reads for itself.
/// `first_start`: the whole deployment starts for the first time. Those that
/// come later in the order wait longer, so that they hear of the one that took
/// over: did all read at once when the reader is late, each would tell all
/// others, and the next reader would be late too.
std::chrono::milliseconds listing_patience(bool heard, bool first_start,
                                           std::chrono::milliseconds interval,
                                           std::size_t rank = 0);

/// Time until the list is read again after a reading that failed.
std::chrono::milliseconds time_to_reread(bool heard,
                                         std::chrono::milliseconds interval,
                                         random_source& random);

/// On the reader: numbers the changes of the list.
class listing_writer {
 public:
  listing_writer(std::string reader, std::uint64_t life)
      : reader_(std::move(reader)), life_(life) {}

  /// Takes in the list as it was read at `now`; it covers the configuration
  /// up to `covers`.
  void update(const std::vector<surface::listed_endpoint>& all,
              config::revision_number covers, monotonic_time now);
  /// After which version the news to `gateway` begin now, which it counts as
  /// told: after that which it was told last, or 0, for the whole list, from
  /// time to time. Gateways get the whole list at different times.
  std::uint64_t tell(const std::string& gateway, monotonic_time now);
  /// What has changed after version `since`; the same for all who have that.
  listing_news news_since(std::uint64_t since, monotonic_time now) const;
  /// The next news to `gateway` have the whole list.
  void forget(const std::string& gateway) { told_.erase(gateway); }
  bool empty() const { return version_ == 0; }

 private:
  struct entry {
    dated_endpoint dated;
    std::uint64_t version = 0;
    bool gone = false;
  };
  struct told {
    std::uint64_t version = 0;
    monotonic_time whole_at;
  };

  std::string reader_;
  std::uint64_t life_;
  std::uint64_t version_ = 0;
  config::revision_number covers_ = 0;
  std::map<std::string, entry> entries_;
  std::map<std::string, told> told_;
};

/// On the others: the list as its readers told it.
class listing_copy {
 public:
  /// False when earlier news are missing: the whole list must be asked for.
  bool take(const listing_news& in, monotonic_time now);
  /// The list of the reader whose news came last.
  std::vector<surface::listed_endpoint> all(monotonic_time now) const;
  /// Up to which revision of the configuration that list tells.
  config::revision_number covers() const;

 private:
  struct view {
    std::uint64_t life = 0;
    std::uint64_t version = 0;
    config::revision_number covers = 0;
    std::map<std::string, dated_endpoint> endpoints;
  };

  std::string last_;
  std::map<std::string, view> readers_;
};

}  // namespace trestlepost::node

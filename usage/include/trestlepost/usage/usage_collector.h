// Sums up the usage that the gateways of a region report, exchanges sums with
// the collectors of other regions, and keeps the level of each organisation's
// limit. Any node can be a collector; those that gateways report to are active.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/routing/organisation_table.h"
#include "trestlepost/usage/usage_messages.h"

namespace trestlepost::usage {

/// How long a collector of another region counts as in contact after its last
/// message.
inline constexpr std::chrono::milliseconds region_contact_time{500};

class usage_collector {
 public:
  /// `name` must differ between processes of a node.
  usage_collector(std::string name, std::string region)
      : name_(std::move(name)), region_(std::move(region)) {}

  /// Counts a report and answers it.
  usage_reply handle(const usage_report& report, monotonic_time now);
  /// Counts the sums of another collector, also of one in this region.
  void handle(const region_usage& sums, monotonic_time now);

  /// Advances all levels. `regions` is the number of regions of the deployment,
  /// also of those that can't be reached.
  void tick(const routing::organisation_table& organisations,
            std::size_t regions, monotonic_time now);

  /// Whether gateways report to this collector.
  bool active(monotonic_time now) const;
  /// The sums to send to other collectors.
  region_usage sums(monotonic_time now) const;

 private:
  /// Someone whose cumulative counts are known.
  struct source {
    std::uint64_t session = 0;
    std::string region;
    usage_counts counts;
    monotonic_time heard_at;
  };
  struct limit_state {
    double level = 0;
    double demand = 0;
    double region_rate = 0;  // of one region's part of the limit, per second
    bool is_new = true;
    usage_count new_usage;  // since the last tick
    double burst = 0;       // of this region group's part of the limit
    usage_count own;        // by gateways of this collector since its start
    monotonic_time changed_at;
  };

  usage_count count_change(source& from, const std::string& organisation,
                           const usage_count& now_counted);
  double part(monotonic_time now) const;
  /// How long no collector of the region has been heard since this one started;
  /// 0 while in contact.
  std::chrono::duration<double> silence_of(const std::string& region,
                                           monotonic_time now) const;
  /// Whether this collector started so recently that requests which waited for
  /// its gateways may not be counted yet.
  bool is_starting(monotonic_time now) const;
  /// The level of an organisation that had not asked for anything since this
  /// collector began to observe.
  double saved_level(const config::usage_limit& limit,
                     monotonic_time now) const;
  /// Returns whether the organisation is near its limit.
  bool advance(limit_state& state, const config::usage_limit& limit,
               std::chrono::duration<double> passed) const;
  /// Counts a change; `own` if a gateway of this collector reported it.
  void add_usage(const std::string& organisation, const usage_count& change,
                 bool own, monotonic_time now);
  /// Takes over levels that an earlier collector had told, if this one has not
  /// observed for long enough to know better.
  void adopt(const usage_levels& levels, monotonic_time now);
  void remove_idle(monotonic_time now);

  std::string name_;
  std::string region_;
  std::size_t regions_ = 1;
  double part_ = 0;
  std::map<std::string, source> gateways_;     // by name
  std::map<std::string, source> collectors_;   // by name
  std::map<std::string, limit_state> states_;  // by organisation
  std::set<std::string> near_limit_;           // organisations
  monotonic_time ticked_at_;
  /// The first tick, or the end of the last gap between ticks.
  std::optional<monotonic_time> observing_since_;
};

}  // namespace trestlepost::usage

// Messages about the usage of organisations: from gateways to the collector of
// their region and back, and between collectors. All amounts are cumulative, so
// that a lost message costs nothing but time.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost::usage {

/// Time between two reports of a gateway, and between two ticks of a collector.
inline constexpr std::chrono::milliseconds usage_interval{150};
/// Least time between two reports, the second of which is urgent.
inline constexpr std::chrono::milliseconds min_report_interval{30};

/// Amounts in the unit of the organisation's limit.
struct usage_count {
  double asked = 0;  // of all requests, also of those that were refused
  double used = 0;   // of those that were admitted

  bool operator==(const usage_count&) const = default;
};

using usage_counts = std::map<std::string, usage_count>;  // by organisation

/// The state of a limit as a collector sees it.
struct usage_level {
  double level = 0;   // amount that may be used now; negative: overdrawn
  double demand = 0;  // amount asked per second in all regions

  bool operator==(const usage_level&) const = default;
};

using usage_levels = std::map<std::string, usage_level>;  // by organisation

/// What a gateway has counted since it began to report to a collector.
struct usage_report {
  std::string gateway;
  std::uint64_t session = 0;   // one for each collector in turn
  std::uint64_t sequence = 0;  // within the session, from 1
  usage_counts counts;         // those that changed
  /// In the first report of a session: what the last collector told, so that a
  /// restarted one does not forget an overdrawn limit.
  usage_levels levels;

  bool operator==(const usage_report&) const = default;
};

/// Answer to a report.
struct usage_reply {
  std::string collector;
  std::uint64_t session = 0;   // of the report
  std::uint64_t sequence = 0;  // of the report
  /// Whether the collector has the session from its start. If not, it has
  /// ignored the report, and the gateway begins another session.
  bool known = false;
  /// The part of all limits that the regions in contact with each other have.
  double part = 0;
  /// The organisations that are near their limits; all others are far from
  /// them, as far as the collector knows.
  usage_levels levels;
  /// Whether the collector started a moment ago.
  bool starting = false;

  bool operator==(const usage_reply&) const = default;
};

/// What the gateways of one collector have counted since it started.
struct region_usage {
  std::string region;
  std::string collector;
  usage_counts counts;  // those that changed recently
  /// Whether the collector started a moment ago.
  bool starting = false;

  bool operator==(const region_usage&) const = default;
};

json to_json(const usage_report& value);
usage_report usage_report_from(const json& value);
json to_json(const usage_reply& value);
usage_reply usage_reply_from(const json& value);
json to_json(const region_usage& value);
region_usage region_usage_from(const json& value);

}  // namespace trestlepost::usage

// Differences between two traffic plans. Successive plans usually differ in a
// few of thousands of routes or organisations, so watchers are sent only the
// difference.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/config/traffic_plan.h"

namespace trestlepost::config {

/// Identifies a route: a plan has at most one route per key.
struct route_key {
  std::string host;
  std::string path_prefix;

  auto operator<=>(const route_key&) const = default;
};

/// The changes that turn one traffic plan into another.
struct plan_delta {
  plan_number number = 0;      // of the resulting plan
  std::vector<route> written;  // added or changed routes
  std::vector<route_key> removed;
  /// All services, if any of them changed.
  std::optional<std::vector<planned_service>> services;
  std::optional<request_limits> limits;
  /// Whether the plan requires keys, if that changed.
  std::optional<bool> requires_key;
  organisation_list written_organisations;  // added or changed
  std::vector<std::string> removed_organisations;

  /// The number of routes and organisations that are written or removed.
  std::size_t size() const {
    return written.size() + removed.size() + written_organisations.size() +
           removed_organisations.size();
  }
};

/// The difference from `before` to `after`. If `before` is null, all of `after`
/// is new.
plan_delta make_plan_delta(const traffic_plan* before,
                           const traffic_plan& after);

/// Applies `delta` to `before`, which must be the plan (or null) that the delta
/// was made from. The result has no document, and new routes follow the
/// existing ones.
traffic_plan apply_plan_delta(const traffic_plan* before,
                              const plan_delta& delta);

json to_json(const plan_delta& value);
result<plan_delta> plan_delta_from(const json& value);

}  // namespace trestlepost::config

// Simulates the gateways and collectors of several regions that limit the usage
// of organisations, without I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "trestlepost/base/random.h"
#include "trestlepost/usage/shared_limiter.h"
#include "trestlepost/usage/usage_collector.h"

namespace trestlepost::usage::test {

enum class limiting { none, equal_parts, demand_parts, shared };

/// The limit of one organisation and its requests.
struct simulated_organisation {
  double rate = 0;   // tokens a second
  double burst = 0;  // tokens
  double load = 1;   // demand as a multiple of the rate
};

/// Time since the start of the simulation.
using simulated_time = std::chrono::duration<double>;

struct usage_scenario {
  std::uint64_t seed = 1;
  limiting way = limiting::shared;
  int regions = 3;
  int gateways = 12;  // in all regions together
  simulated_time length{24};
  std::vector<simulated_organisation> organisations;
  /// Returns the demand in a region, as a multiple of its mean.
  std::function<double(int region, simulated_time time)> wave =
      [](int, simulated_time) { return 1.0; };
  /// Returns the demand of an organisation, as a multiple of its load.
  std::function<double(std::size_t organisation, simulated_time time)> surge =
      [](std::size_t, simulated_time) { return 1.0; };
  /// Returns the limit of all organisations, as a multiple of the stated one.
  std::function<double(simulated_time time)> limit_factor = [](simulated_time) {
    return 1.0;
  };
  /// Whether messages between two regions are lost.
  std::function<bool(int from, int to, simulated_time time)> is_cut =
      [](int, int, simulated_time) { return false; };
  /// Whether a gateway is suspended.
  std::function<bool(int gateway, simulated_time time)> is_suspended =
      [](int, simulated_time) { return false; };
  /// Time between two restarts of a gateway, one gateway after another; 0: no
  /// restarts.
  simulated_time restart_interval{0};
  /// Time at which all collectors restart; 0: never.
  simulated_time collectors_restart_at{0};
  /// Time at which all gateways and collectors restart; 0: never.
  simulated_time all_restart_at{0};
  /// How long requests wait at the gateways that restarted together: at the
  /// first that is ready, and at the last one.
  simulated_time min_wait{0};
  simulated_time max_wait{0};
};

struct usage_outcome {
  /// The largest usage within a window, divided by what is allowed, of the
  /// worst organisation.
  double max_use = 0;
  /// Part of the allowed usage that was refused, of all organisations. A single
  /// allowance for all gateways decides what is allowed.
  double refused = 0;
  /// The same, of the organisation that lost most.
  double max_refused = 0;
  double messages_per_second = 0;
};

/// Requests refused although the limit allows them, while demand stands still.
inline constexpr double max_refused_steady = 0.02;

/// Returns a scenario with organisations of several sizes, the smallest with
/// less than the largest request per gateway and second.
usage_scenario scenario_of(int gateways, int regions, double load);

usage_outcome simulate(const usage_scenario& scenario);

}  // namespace trestlepost::usage::test

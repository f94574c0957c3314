// Simulates gateways, crashing endpoints and the control nodes that attribute
// crashes, without I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/routing/crash_attribution.h"

namespace trestlepost::routing::test {

/// Parameters of one simulated deployment and its faults.
struct crash_scenario {
  std::uint64_t seed = 1;
  int gateways = 12;
  int endpoints = 24;
  int zones = 3;  // of the endpoints
  /// Mean number of concurrent requests per endpoint.
  int concurrent_runs = 8;
  std::chrono::milliseconds run_time{800};  // mean
  /// Rate of a harmless request that is sent repeatedly, in requests per
  /// second.
  double repeated_per_second = 0;
  int lethal_kinds = 2;
  double lethal_per_second = 10;  // per kind
  /// A lethal kind is a part of prompts rather than a request: its requests are
  /// all different. They crash endpoints when they begin to answer.
  bool lethal_parts = false;
  /// Numbers of different parts at the begin and in the middle of the prompts
  /// of harmless requests; 0 for none.
  int first_parts = 0;
  int middle_parts = 0;
  bool zones_crash = false;  // one after another, without a lethal request
  /// One endpoint crashes each second, without a lethal request.
  bool endpoints_crash_in_turn = false;
  bool gateways_restart = false;
  bool leaders_change = false;
  bool control_nodes_restart =
      false;  // all at once, just after the first crashes
  bool gateways_suspended = false;
  double lost_messages = 0;
  /// Mechanisms to disable, to show that the checks detect their absence.
  bool without_holds = false;
  bool without_success_reports = false;
  bool without_repeated_reports = false;
  bool without_parts = false;
};

struct crash_outcome {
  /// For the worst lethal kind: sends by connected gateways later than the
  /// contact time after its third crash, or its fifth if it is a part.
  int late_sends = 0;
  int max_crashes_per_kind = 0;
  int harmless = 0;
  int harmless_served = 0;
  /// Harmless requests that were held.
  int harmless_held = 0;
};

crash_outcome simulate(const crash_scenario& scenario);

}  // namespace trestlepost::routing::test

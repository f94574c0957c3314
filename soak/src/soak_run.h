// Runs a small deployment of real nodes under the faults of one seed, with
// concurrent callers, operators and readers.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plan_record.h"
#include "schedule.h"

namespace trestlepost::soak {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds span{20'000};  // all faults begin within it
  int gateways_per_region = 1;
  bool limits = false;  // endpoints state request limits most of the time
  /// One in some dozens of requests has a part in its prompt that crashes the
  /// endpoint that begins to answer it.
  bool crashes = false;
  bool evacuations = false;  // a zone is evacuated and put back all the time
  bool bursts = false;       // many large requests are sent at once
  bool stops = false;        // only planned stops, reloads and plan changes
  std::string program = "trestlepostd";  // the daemon that nodes run
  /// If not empty, all faults of other kinds are left out.
  std::vector<fault_kind> only;
};

struct soak_result {
  int faults = 0;
  int answered = 0;
  int refused = 0;
  int failed = 0;
  int acknowledged = 0;
  int reads = 0;
  int repeats = 0;  // arrivals at endpoints after the first of their request
  /// The largest share of the allowed repeats that was used in a window.
  double retry_share = 0;
  /// The largest share of a stated request limit that was used in a window.
  double limit_share = 0;
  int crashes = 0;     // of endpoints
  int part_sends = 0;  // requests with a part that crashes endpoints, at these
  /// For the worst part: sends by gateways in touch later than the contact time
  /// after the fifth crash.
  int late_part_sends = 0;
  /// Acknowledged orders for a zone, the changes of its state in the audit
  /// trail, and requests that arrived in the zone too late.
  int evacuation_orders = 0;
  int zone_changes = 0;
  int late_zone_arrivals = 0;
  /// Planned stops, the longest time until an exit, and the requests without a
  /// complete answer by what became of them, as `stop_record` tells them apart.
  int stops = 0;
  std::chrono::milliseconds longest_stop{0};
  std::map<std::string, int> unanswered;
  int peak_memory_mb = 0;  // of the process that has used most
  /// Time from the end of the last fault until all nodes serve.
  std::chrono::milliseconds recovery{0};
  violation_list violations;
  /// Folder with the nodes' logs; kept only if there are violations.
  std::string folder;
};

/// Runs the deployment under the faults of the seed and checks the guarantees
/// for plans, requests, repeats, request limits, memory and recovery.
soak_result run_soak(const soak_options& options);

}  // namespace trestlepost::soak

// Determines which requests crash the endpoints that run them, from the crash
// reports of the gateways. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// A request that was running on an endpoint when the endpoint crashed.
struct crash_report {
  std::string fingerprint;  // of the request
  std::string endpoint;
  std::string service;
  monotonic_time at{};
};

/// A request to hold, with the crashes attributed to it.
struct hold_proposal {
  std::string fingerprint;
  std::string service;
  // endpoints that crashed while running it
  std::vector<std::string> endpoints;
};

struct crash_attribution_limits {
  /// Attributed crashes after which a request is held. Two are too few: an
  /// endpoint runs dozens of requests when one of them crashes it, and all of
  /// them are then retried on other endpoints together.
  std::size_t crashes_to_hold = 3;
  /// Attributed crashes after which gateways report successful runs of the
  /// request.
  std::size_t crashes_to_suspect = 2;
  /// Time to wait for the reports of all gateways after a crash, since the
  /// report on the request that caused it may arrive last.
  std::chrono::milliseconds settle_time{150};
  /// A request that completed successfully within this time is not held.
  std::chrono::milliseconds recent_success_window{3000};
  /// Number of crashes kept, and of requests kept per crash. The oldest crashes
  /// are dropped first.
  std::size_t max_crashes = 4000;
  std::size_t max_requests_per_crash = 512;
};

/// Counts crashes by request. An endpoint runs up to some dozens of requests
/// when one of them crashes it. A crash is therefore attributed only to those
/// of its requests that were running during the most crashes, and does not
/// count against a request that ran alongside one with more crashes. A
/// successful run clears all earlier crashes of a request, since a request that
/// crashes endpoints does so on each run.
///
/// The result does not depend on the order of reports or on duplicates, so all
/// nodes that receive the same reports reach the same result.
class crash_attribution {
 public:
  explicit crash_attribution(const crash_attribution_limits& limits = {})
      : limits_(limits) {}

  void record_crash(const crash_report& report, monotonic_time now);
  /// Records a successful run of the request that ended at `at`.
  void record_success(const std::string& fingerprint, monotonic_time at);

  /// Returns the number of crashes attributed to the request.
  std::size_t attributed_crashes(const std::string& fingerprint) const;
  /// Returns whether any crash is recorded for the request.
  bool has_crashes(const std::string& fingerprint) const {
    return requests_.contains(fingerprint);
  }
  /// Returns requests to hold from now on. Each is returned once, until
  /// `forget` is called for it.
  std::vector<hold_proposal> take_hold_proposals(monotonic_time now);
  /// Returns requests whose successful runs gateways should report. Each is
  /// returned once.
  std::vector<std::string> take_suspects();
  /// Clears all crashes of a request, for one that was released from its hold.
  void forget(const std::string& fingerprint);

 private:
  using crash_id = std::uint64_t;

  struct crash {
    std::string endpoint;
    std::string service;
    monotonic_time at{};
    std::set<std::string> fingerprints;
  };

  struct request {
    std::set<crash_id> crashes;
    /// Time of the next evaluation, while the request is a candidate.
    monotonic_time evaluate_at{};
    bool suspect_returned = false;
    bool proposal_returned = false;
  };

  /// Returns the crash that `report` belongs to, and adds it if it is new.
  crash_id find_or_add(const crash_report& report);
  void drop_oldest();
  bool succeeded_recently(const std::string& fingerprint,
                          monotonic_time now) const;
  hold_proposal make_proposal(const std::string& fingerprint) const;

  crash_attribution_limits limits_;
  std::map<crash_id, crash> crashes_;  // oldest first
  std::map<std::string, request> requests_;
  std::map<std::string, monotonic_time> last_success_;
  /// Requests with crashes that have not been evaluated yet.
  std::set<std::string> candidates_;
  crash_id next_id_ = 1;
};

}  // namespace trestlepost::routing

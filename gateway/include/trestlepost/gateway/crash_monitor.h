// Distinguishes endpoint crashes from lost connections, and requests that cause
// crashes from those that merely ran on the same endpoint.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/config/hold_tracker.h"
#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/routing/crash_attribution.h"
#include "trestlepost/routing/refusal_correlation.h"

namespace trestlepost::gateway {

/// The endpoint a request ran on.
struct run_location {
  std::string endpoint;
  std::string address;
  std::string service;
};

/// Probes the endpoint's address with a new connection when a run ends with a
/// lost connection. A refused connection means that no process listens there
/// any more: the endpoint crashed. An accepted one means that the endpoint is
/// alive. A timeout means a network partition or a power loss. So do refused
/// connections if no endpoint of the service is reachable and unrelated
/// requests ran at those that were lost. Only a crash counts against the
/// requests that ran there.
///
/// Requests are identified by their fingerprints. Those that crash endpoints
/// are held: they are sent to no endpoint once the configuration lists them, or
/// once this gateway alone has observed enough crashes.
class crash_monitor {
 public:
  explicit crash_monitor(gateway_context& context) : context_(context) {}

  /// Called for each request that was running on an endpoint when it crashed.
  std::function<void(const routing::crash_report&)> on_crash;
  /// Called when a request that was involved in crashes completes normally.
  std::function<void(const std::string& fingerprint)> on_run_completed;

  /// Records that a run of the request with this fingerprint lost its
  /// connection, and probes the endpoint.
  void run_interrupted(const std::string& fingerprint, const run_location& at);

  /// Returns whether any request is monitored, so that normal completions have
  /// to be recorded.
  bool monitors_any() const { return !monitored_.empty(); }
  void run_completed(const std::string& fingerprint);

  /// Returns whether any request is held, so that fingerprints have to be
  /// checked.
  bool holds_any() const;
  /// Returns the refusal for the request if it is held.
  std::optional<attempt> refusal_of(const std::string& fingerprint) const;
  /// Returns whether the request is suspected of causing crashes. It is not
  /// retried after an attempt in which an endpoint may have crashed, so that
  /// each attempt of a caller crashes one endpoint at most.
  bool is_suspect(const std::string& fingerprint) const;

  /// Adds requests under which other gateways observed crashes.
  void add_suspects(const std::vector<std::string>& fingerprints);
  /// Adds requests that the leader of the control nodes proposes to hold. The
  /// configuration lists them shortly afterwards.
  void add_proposed_holds(const std::vector<std::string>& fingerprints);

  void tick();

 private:
  /// Probes the endpoint at `at` and evaluates the interrupted runs.
  transport::awaitable<void> probe(run_location at);
  /// Returns whether this gateway has lost the paths to all endpoints of the
  /// service, rather than `at` having crashed.
  transport::awaitable<bool> is_partitioned(
      const run_location& at, const std::set<std::string>& interrupted);
  void record_crash(const std::string& fingerprint, const run_location& at);
  /// Marks or holds the requests to which this gateway's own observations
  /// attribute enough crashes.
  void apply_own_attribution();
  void hold_locally(const std::string& fingerprint);
  /// Clears the evidence against requests that were released.
  void apply_releases();
  void remove_expired();

  gateway_context& context_;
  routing::crash_attribution attribution_;  // based on this gateway's own runs
  /// Fingerprints of runs that lost their connection, by endpoint, while the
  /// endpoint is being probed.
  std::map<std::string, std::set<std::string>> interrupted_runs_;
  /// Until when the completion of each of these requests is reported.
  std::map<std::string, monotonic_time> monitored_;
  std::map<std::string, monotonic_time> suspects_;
  /// Until when this gateway holds each request on its own decision.
  std::map<std::string, monotonic_time> local_holds_;
  routing::refusal_correlation refusals_;
  config::hold_tracker holds_;
  monotonic_time next_cleanup_{};
};

}  // namespace trestlepost::gateway

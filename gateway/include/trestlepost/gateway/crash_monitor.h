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
#include "trestlepost/gateway/part_fingerprints.h"
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
/// Requests and the parts of their prompts are identified by fingerprints.
/// Those that crash endpoints are held: no request with one of them is sent to
/// an endpoint once the configuration lists it, or, for a request, once this
/// gateway alone has observed enough crashes.
class crash_monitor {
 public:
  explicit crash_monitor(gateway_context& context) : context_(context) {}

  using trait_list = std::vector<routing::run_trait>;

  /// Called for each trait of the runs at an endpoint when it crashed.
  std::function<void(const routing::crash_report&)> on_crash;
  /// Called when a run with a trait that was involved in crashes succeeds.
  std::function<void(const std::string& fingerprint)> on_success;

  /// Returns the traits of the request: itself and the parts of its prompt.
  trait_list traits_of(routed_request& request);
  /// Returns the traits that come from the parts of its prompt.
  trait_list parts_of(const routed_request& request);

  /// Records that a run with these traits lost its connection, and probes the
  /// endpoint. A run that had begun to answer is not evidence against the parts
  /// of its prompt.
  void run_interrupted(const trait_list& traits, const run_location& at);

  /// Returns whether anything is monitored, so that normal runs have to be
  /// recorded.
  bool monitors_any() const { return !monitored_.empty(); }
  /// Records that an endpoint began to answer a request of the service with
  /// these parts, or has answered it.
  void run_began(const std::string& service, const trait_list& parts);
  void run_completed(const std::string& fingerprint);

  /// Returns whether anything is held, so that fingerprints have to be checked.
  bool holds_any() const;
  /// Returns the refusal for a request with these traits if one is held.
  std::optional<attempt> refusal_of(const trait_list& traits) const;
  /// Returns whether a request with these traits is suspected of causing
  /// crashes. It is not retried after an attempt in which an endpoint may have
  /// crashed, so that each attempt of a caller crashes one endpoint at most.
  bool is_suspect(const trait_list& traits) const;

  /// Adds traits under which other gateways observed crashes.
  void add_suspects(const std::vector<std::string>& fingerprints);
  /// Adds traits that the leader of the control nodes proposes to hold. The
  /// configuration lists them shortly afterwards.
  void add_proposed_holds(const std::vector<std::string>& fingerprints);

  void tick();

 private:
  using trait_map = std::map<std::string, routing::trait_kind>;

  /// Probes the endpoint at `at` and evaluates the interrupted runs.
  transport::awaitable<void> probe(run_location at);
  /// Returns whether this gateway has lost the paths to all endpoints of the
  /// service, rather than `at` having crashed.
  transport::awaitable<bool> is_partitioned(const run_location& at,
                                            const trait_map& interrupted);
  void record_crash(const routing::run_trait& trait, const run_location& at,
                    monotonic_time now);
  void record_success(const std::string& fingerprint);
  /// Starts to report successes of the service, which excuse its runs.
  void monitor_service(const std::string& service, monotonic_time now);
  /// Marks what this gateway's own observations attribute enough crashes to,
  /// and holds requests. Whether other runs with a part succeed, only the
  /// control nodes know.
  void apply_own_attribution();
  void hold_locally(const std::string& fingerprint);
  /// Clears the evidence against requests that were released.
  void apply_releases();
  void remove_expired();

  gateway_context& context_;
  routing::crash_attribution attribution_;  // based on this gateway's own runs
  struct interrupted_runs {
    std::size_t runs = 0;
    trait_map traits;  // by fingerprint
  };
  /// The runs that lost their connection, by endpoint, while the endpoint is
  /// being probed.
  std::map<std::string, interrupted_runs> interrupted_;
  part_fingerprints parts_;
  /// Until when the success of runs with each of these traits is reported.
  std::map<std::string, monotonic_time> monitored_;
  std::map<std::string, monotonic_time> suspects_;
  /// Until when this gateway holds each of these on its own decision, or on a
  /// proposal of the leader.
  std::map<std::string, monotonic_time> local_holds_;
  routing::refusal_correlation refusals_;
  config::hold_tracker holds_;
  monotonic_time next_cleanup_{};
};

}  // namespace trestlepost::gateway

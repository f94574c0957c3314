// Distinguishes endpoint crashes from lost connections, and requests that cause
// crashes from those that merely ran on the same endpoint.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/config/hold_tracker.h"
#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/prompt_traits.h"
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
  explicit crash_monitor(gateway_context& context);

  /// Called for each trait of the runs at an endpoint when it crashed.
  std::function<void(const routing::crash_report&)> on_crash;
  /// Called when a run with a trait that was involved in crashes has succeeded
  /// at `at`.
  std::function<void(const std::string& fingerprint, monotonic_time at)>
      on_success;

  /// Records that a run of the request lost its connection, and probes the
  /// endpoint. If the endpoint had begun to answer, the run is no evidence
  /// against the parts of its prompt.
  void run_interrupted(routed_request& request, bool began,
                       const run_location& at);
  /// The same for a request without a known prompt.
  void run_interrupted(const std::string& fingerprint, const run_location& at);

  /// Records that an endpoint has begun to answer the request, by which it
  /// shows that the parts of its prompt crash no endpoint.
  void run_began(const routed_request& request);
  /// Records that an endpoint of the service has answered a request.
  void service_answered(const std::string& service);
  /// Returns whether anything is monitored, so that completions have to be
  /// recorded.
  bool monitors_any() const { return !monitored_.empty(); }
  void run_completed(const std::string& fingerprint);

  /// Returns whether anything is held, so that fingerprints have to be checked.
  bool holds_any() const;
  /// Returns the refusal for the request if it or a part of its prompt is held.
  std::optional<attempt> refusal_of(routed_request& request);
  /// Returns the refusal for the request with this fingerprint if it is held.
  std::optional<attempt> refusal_of(const std::string& fingerprint) const;
  /// Returns whether the request or a part of its prompt is suspected of
  /// causing crashes. It is not retried after an attempt in which an endpoint
  /// may have crashed, so that each attempt of a caller crashes one endpoint at
  /// most.
  bool is_suspect(routed_request& request);

  /// Adds traits under which other gateways observed crashes.
  void add_suspects(const std::vector<std::string>& fingerprints);
  /// Adds traits that the leader of the control nodes proposes to hold. The
  /// configuration lists them shortly afterwards.
  void add_proposed_holds(const std::vector<std::string>& fingerprints);
  /// Ends this gateway's own holds of traits that the control nodes no longer
  /// hold or propose to hold.
  void withdraw_holds(const std::vector<std::string>& fingerprints);

  void tick();

 private:
  struct interrupted_trait {
    routing::trait_kind kind = routing::trait_kind::request;
    /// When a run with it last succeeded, if known.
    std::optional<monotonic_time> last_success;
  };
  struct interrupted_runs {
    std::size_t runs = 0;
    std::map<std::string, interrupted_trait> traits;  // by fingerprint
  };

  /// Probes the endpoint at `at` and evaluates the interrupted runs.
  transport::awaitable<void> probe(run_location at);
  /// Returns whether this gateway has lost the paths to all endpoints of the
  /// service, rather than `at` having crashed.
  transport::awaitable<bool> is_partitioned(const run_location& at,
                                            const interrupted_runs& runs);
  /// Adds a trait to the interrupted runs of an endpoint.
  void add_interrupted(interrupted_runs& runs, const routing::run_trait& trait,
                       std::optional<monotonic_time> last_success) const;
  /// Returns the interrupted runs of the endpoint, with one run more. Starts a
  /// probe of the endpoint with the first one.
  interrupted_runs& add_run(const run_location& at);
  bool is_held(const std::string& fingerprint) const;
  void record_crash(const std::string& fingerprint,
                    const interrupted_trait& trait, const run_location& at,
                    monotonic_time now);
  void record_success(const std::string& fingerprint);
  /// Marks what this gateway's own observations attribute enough crashes to,
  /// and holds requests. Whether other runs with a part succeed, only the
  /// control nodes know.
  void apply_own_attribution();
  void hold_locally(const std::string& fingerprint,
                    std::chrono::seconds duration);
  void end_expired_holds(monotonic_time now);
  /// Clears the evidence against requests that were released.
  void apply_releases();
  void clear_evidence(const std::string& fingerprint);
  void remove_expired();

  gateway_context& context_;
  routing::crash_attribution attribution_;  // based on this gateway's own runs
  /// The runs that lost their connection, by endpoint, while the endpoint is
  /// being probed.
  std::map<std::string, interrupted_runs> interrupted_;
  prompt_traits prompts_;
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

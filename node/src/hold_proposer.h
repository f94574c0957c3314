// Counts the endpoint crashes that gateways report, by request and by part of
// prompts. The leader proposes to hold what crashes endpoints; holds are part
// of the configuration.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "node_context.h"
#include "trestlepost/config/change.h"
#include "trestlepost/config/hold_tracker.h"
#include "trestlepost/config/store.h"
#include "trestlepost/routing/crash_attribution.h"

namespace trestlepost::node {

/// Every control node evaluates all reports, but only the leader notifies
/// gateways and proposes holds. A hold is a change in the replicated log: it
/// survives the restart of all nodes and reaches each gateway like any other
/// change. A gateway that has started or was disconnected serves no request
/// before it has the latest revision.
class hold_proposer {
 public:
  using propose_function = std::function<void(config::change)>;

  hold_proposer(node_context& context, const config::object_store& store,
                propose_function propose)
      : context_(context), store_(store), propose_(std::move(propose)) {}

  void handle_report(const json& params);
  /// Drops proposals that are in force, and the crashes of what was released.
  /// Call it after each decision: a hold and its release may follow each other
  /// within a tick.
  void apply_hold_changes();
  /// `leads`: whether this node leads the configuration group.
  void tick(bool leads);

 private:
  struct proposed_hold {
    routing::hold_proposal proposal;
    monotonic_time next_proposal{};
  };
  struct pending_release {
    monotonic_time since{};
    monotonic_time next_proposal{};
  };

  void handle_success(const routing::crash_report& report);
  void handle_part_reports(const json& crash, monotonic_time now);
  /// Sends the notification `method` to all reachable gateways.
  void notify_gateways(const std::string& method,
                       const std::vector<std::string>& fingerprints);
  /// Evaluates the reports; returns the requests newly proposed to be held.
  std::vector<std::string> evaluate_reports();
  void propose_holds();
  /// Proposes to release what runs have shown to be harmless since it was held.
  void propose_releases();
  void propose(config::request_hold hold);

  node_context& context_;
  const config::object_store& store_;
  propose_function propose_;
  routing::crash_attribution attribution_;
  /// By fingerprint; not in force yet on this node.
  std::map<std::string, proposed_hold> proposed_holds_;
  /// By fingerprint; held or about to be.
  std::map<std::string, pending_release> releases_;
  /// The fingerprints whose proposal or hold has ended since the last tick.
  std::vector<std::string> withdrawn_;
  config::hold_tracker holds_;
};

}  // namespace trestlepost::node

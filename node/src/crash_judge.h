// What a control node concludes from the crashes that gateways report: the
// leader has the requests that crash endpoints held back by the configuration.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "node_context.h"
#include "trestlepost/config/change.h"
#include "trestlepost/config/hold_tracker.h"
#include "trestlepost/config/store.h"
#include "trestlepost/routing/crash_blame.h"

namespace trestlepost::node {

/// Every control node hears all reports and judges; the one that leads acts.
/// A hold stands in the log: it outlives restarts of all nodes, and reaches
/// each gateway the way every change does. One that has started, or was cut
/// off, serves no request before it has the newest revision.
class crash_judge {
 public:
  using propose_function = std::function<void(config::change)>;

  crash_judge(node_context& context, const config::object_store& store,
              propose_function propose)
      : context_(context), store_(store), propose_(std::move(propose)) {}

  void handle_report(const json& params);
  /// `leads`: this node leads the configuration group.
  void tick(bool leads);

 private:
  struct condemned {
    routing::crash_verdict verdict;
    monotonic_time next_proposal{};
  };

  void note_released();
  /// Sends the notification `method` to all gateways that are heard.
  void tell_gateways(const std::string& method,
                     const std::vector<std::string>& fingerprints);
  /// Requests that are condemned now.
  std::vector<std::string> judge();
  void propose_holds();

  node_context& context_;
  const config::object_store& store_;
  propose_function propose_;
  routing::crash_blame blame_;
  /// Not held yet, as far as this node knows.
  std::map<std::string, condemned> condemned_;
  config::hold_tracker holds_;
};

}  // namespace trestlepost::node

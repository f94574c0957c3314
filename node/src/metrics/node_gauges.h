// The metrics of a node's state and of its traffic with other nodes.
#pragma once

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include "control_service.h"
#include "ledger_service.h"
#include "loop/tick_monitor.h"
#include "node_context.h"
#include "routed_gateway.h"

namespace trestlepost::node {

/// The parts of a node that are measured. They must outlive the gauges.
struct gauge_sources {
  const node_context& context;
  const control_service* control;  // null on nodes that are no control node
  const tick_monitor& ticks;
  const ledger_service& ledger;
  const routed_gateway& routed_services;
  const transport::peer_server& peer_server;
};

class node_gauges {
 public:
  node_gauges(prometheus::Registry& registry, gauge_sources sources);

  /// Updates all gauges.
  void collect();

 private:
  void collect_state();
  void collect_control();
  void collect_traffic();
  void set(const char* what, double value);

  prometheus::Family<prometheus::Gauge>& gauges_;
  gauge_sources sources_;
};

}  // namespace trestlepost::node

// The services of a node that implement the platform's surface: routing by the
// traffic plan, the endpoint list, operators' orders and the entry directory.
#pragma once

#include "control_service.h"
#include "endpoint_list_service.h"
#include "entry_handlers.h"
#include "node_context.h"
#include "order_handler.h"
#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/endpoint_prober.h"
#include "trestlepost/gateway/route_forward_handler.h"
#include "trestlepost/gateway/route_handler.h"
#include "trestlepost/gateway/route_service.h"
#include "trestlepost/membership/endpoint_sums.h"
#include "trestlepost/surface/surfaces.h"
#include "usage/usage_service.h"

namespace trestlepost::node {

/// Builds and connects these services.
class routed_gateway {
 public:
  /// `control` is null on a node that is not a control node. `others` handles
  /// forwarded requests that were not routed by a traffic plan.
  routed_gateway(node_context& context, gateway::gateway_context& gateway,
                 gateway::crash_monitor& crashes, control_service* control,
                 transport::http_handler& others);

  void start();
  void tick();
  /// Applies the plan of a changed configuration, with its request limits for
  /// `entry_server`.
  void apply_plan(transport::http_server& entry_server);
  /// Records the pending tokens and the cached prefixes of endpoints that the
  /// region's other gateways have reported.
  void apply_region_sums(const membership::endpoint_sums& others);
  /// Adds service loads, and the pending tokens and cached prefixes of
  /// endpoints, to a heartbeat.
  void add_loads(membership::heartbeat& beat);

  /// The number of unusable entries in the platform's list.
  std::size_t unreadable_entries() const { return endpoint_list_.unreadable(); }

  gateway::route_handler& entry() { return entry_; }
  transport::http_handler& forwards() { return forwards_; }
  transport::http_handler& orders() { return orders_; }
  transport::http_handler& directory() { return directory_; }
  transport::http_handler& readiness() { return readiness_; }

 private:
  node_context& context_;
  surface::surfaces surfaces_;
  routing::route_table routes_;
  gateway::caller_authentication callers_;
  usage_service usage_;
  gateway::endpoint_pool pool_;
  gateway::endpoint_prober prober_;
  gateway::route_service service_;
  gateway::route_handler entry_;
  gateway::route_forward_handler forwards_;
  endpoint_list_service endpoint_list_;
  order_handler orders_;
  directory_handler directory_;
  readiness_handler readiness_;
};

}  // namespace trestlepost::node

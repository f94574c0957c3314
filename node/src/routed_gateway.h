// The parts of a node that serve the platform's surface: the traffic plan's
// routes, the listed endpoints, the operators' orders and the entry directory.
#pragma once

#include "control_service.h"
#include "entry_handlers.h"
#include "listing_service.h"
#include "node_context.h"
#include "order_handler.h"
#include "trestlepost/gateway/endpoint_pool.h"
#include "trestlepost/gateway/route_forward_handler.h"
#include "trestlepost/gateway/route_handler.h"
#include "trestlepost/gateway/route_service.h"
#include "trestlepost/membership/endpoint_sums.h"
#include "trestlepost/surface/surfaces.h"

namespace trestlepost::node {

class routed_gateway {
 public:
  /// `control` may be null; `others` takes the forwarded requests that are
  /// not routed ones.
  routed_gateway(node_context& context, gateway::gateway_context& gateway,
                 gateway::crash_monitor& crashes, control_service* control,
                 transport::http_handler& others);

  void start();
  void tick();
  /// The configuration changed: brings the plan in force, with its limits at
  /// `entry_server`.
  void take_plan(transport::http_server& entry_server);
  /// Takes in what the region's other gateways have sent to its endpoints.
  void share_pending(const membership::endpoint_sums& others);
  /// Adds what peers are told of the services and the endpoints here.
  void add_loads(membership::heartbeat& beat);

  /// How many entries of the platform's list name no endpoint to use.
  std::size_t unreadable_entries() const { return listing_.unreadable(); }

  gateway::route_handler& entry() { return entry_; }
  transport::http_handler& forwards() { return forwards_; }
  transport::http_handler& orders() { return orders_; }
  transport::http_handler& directory() { return directory_; }
  transport::http_handler& readiness() { return readiness_; }

 private:
  node_context& context_;
  surface::surfaces surfaces_;
  routing::route_table routes_;
  gateway::endpoint_pool pool_;
  gateway::route_service service_;
  gateway::route_handler entry_;
  gateway::route_forward_handler forwards_;
  listing_service listing_;
  order_handler orders_;
  directory_handler directory_;
  readiness_handler readiness_;
};

}  // namespace trestlepost::node

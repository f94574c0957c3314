// Heartbeats within the region, summaries that relays exchange between regions,
// and round-trip times to other regions. Large regions use digests instead of
// heartbeats between all nodes (digest_service).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "digest_service.h"
#include "node_context.h"

namespace trestlepost::node {

/// Sends this node's heartbeats and handles those of others: directly in small
/// regions, through relays in large ones.
class heartbeat_service {
 public:
  heartbeat_service(node_context& context,
                    std::function<membership::heartbeat()> make_heartbeat);

  void start();
  void tick();
  /// Sends heartbeats, digests and summaries immediately, for a change of
  /// state that must not wait for the next interval.
  void announce();
  /// Called with the requests in flight from the region's other gateways.
  std::function<void(const membership::endpoint_sums&)> on_region_loads;

 private:
  void handle_heartbeat(const json& params);
  void handle_summary(const json& params);
  void handle_ping(const json& params);
  void handle_pong(const json& params);
  void send_heartbeats();
  void send_summaries();
  void send_pings();
  /// Sends the heartbeats of all nodes of a region that uses no digests.
  void send_node_summary(const std::vector<std::string>& addresses);
  /// Reports the other gateways' requests in flight to the endpoint tracker
  /// and to `on_region_loads`.
  void report_in_flight();

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  digest_service digests_;
  bool in_flight_changed_ = false;   // new load data to be reported
  bool heartbeat_received_ = false;  // since the last report
  std::uint64_t sequence_ = 0;
  monotonic_time next_heartbeat_;
  monotonic_time next_summary_;
  monotonic_time next_ping_;
};

}  // namespace trestlepost::node

// Heartbeats within the region, summaries between regions by relays, and the
// round trips to other regions. Large regions use digests (digest_service).
#pragma once

#include <functional>
#include <map>
#include <string>

#include "digest_service.h"
#include "node_context.h"

namespace trestlepost::node {

class heartbeat_service {
 public:
  heartbeat_service(node_context& context,
                    std::function<membership::heartbeat()> make_heartbeat);

  void start();
  void tick();
  /// Sends a heartbeat to all at once, for news that can't wait.
  void announce();
  /// Called with the prompt tokens that wait at each endpoint for the other
  /// gateways of the region.
  std::function<void(const membership::endpoint_sums&)> on_region_heard;

 private:
  void handle_heartbeat(const json& params);
  void handle_summary(const json& params);
  void handle_ping(const json& params);
  void handle_pong(const json& params);
  void send_heartbeats();
  void send_summaries();
  void send_pings();
  void send_summary_of_nodes(const std::vector<std::string>& addresses);
  void heard_region();
  void share_in_flight();

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  digest_service digests_;
  bool unshared_ = false;
  std::uint64_t sequence_ = 0;
  monotonic_time next_beat_;
  monotonic_time next_summary_;
  monotonic_time next_ping_;
};

}  // namespace trestlepost::node

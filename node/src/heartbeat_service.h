// Heartbeats within the region, summaries between regions by relays, and the
// round trips to other regions. Large regions use digests (digest_service).
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "digest_service.h"
#include "node_context.h"

namespace trestlepost::node {

/// Sends and takes this node's signs of life, by the way that the size of the
/// region calls for.
class heartbeat_service {
 public:
  heartbeat_service(node_context& context,
                    std::function<membership::heartbeat()> make_heartbeat);

  void start();
  void tick();
  /// Sends a heartbeat to all at once, for news that can't wait.
  void announce();
  /// Called with what the other gateways of the region have under way.
  std::function<void(const membership::endpoint_sums&)> on_region_heard;

 private:
  void handle_heartbeat(const json& params);
  void handle_summary(const json& params);
  void handle_ping(const json& params);
  void handle_pong(const json& params);
  void send_heartbeats();
  void send_summaries();
  void send_pings();
  /// In a region without digests: the heartbeats of all its nodes.
  void send_summary_of_nodes(const std::vector<std::string>& addresses);
  /// Another gateway's news came.
  void heard_region();
  /// Passes on what the other gateways have under way.
  void share_in_flight();

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  digest_service digests_;
  bool unshared_ = false;  // news came that were not passed on yet
  std::uint64_t sequence_ = 0;
  monotonic_time next_beat_;
  monotonic_time next_summary_;
  monotonic_time next_ping_;
};

}  // namespace trestlepost::node

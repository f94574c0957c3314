// Heartbeats within the region, summaries between regions by relays, and the
// round trips to other regions.
#pragma once

#include <functional>
#include <map>
#include <string>

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
  /// Called after a node of the own region was heard.
  std::function<void()> on_region_heard;

 private:
  void handle_heartbeat(const json& params);
  void handle_summary(const json& params);
  void handle_ping(const json& params);
  void handle_pong(const json& params);
  void send_heartbeats();
  void send_summaries();
  void send_pings();
  void share_in_flight();
  std::map<std::string, std::string> region_mates() const;
  std::vector<std::string> relay_addresses(const std::string& region) const;
  std::vector<std::string> other_regions() const;

  node_context& context_;
  std::function<membership::heartbeat()> make_heartbeat_;
  std::uint64_t sequence_ = 0;
  monotonic_time next_beat_;
  monotonic_time next_summary_;
  monotonic_time next_ping_;
};

}  // namespace trestlepost::node

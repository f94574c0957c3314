// The state and the facilities that the services of one node share.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "settings.h"
#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/config/store.h"
#include "trestlepost/gateway/stop_deadline.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/membership/node_table.h"
#include "trestlepost/transport/http_client.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

struct node_context {
  transport::asio::io_context& io;
  const settings& options;
  const clock_source& clock;
  random_source& random;
  membership::node_info self;
  config::object_store& store;
  membership::node_state& state;
  membership::node_table& nodes;
  membership::endpoint_tracker& endpoints;
  transport::peer_links& links;
  transport::rpc_dispatcher& peers;
  transport::http_client& client;
  /// The other nodes by name, as sent by the leader.
  std::map<std::string, membership::node_info> known_nodes;
  /// Smoothed round-trip times by region.
  std::map<std::string, std::chrono::milliseconds> round_trips;

  /// The peer addresses from which control nodes last sent a message, by name.
  std::map<std::string, std::string> observed_addresses;

  /// When the planned stop of this node ends the work in progress.
  gateway::stop_deadline stop{};

  /// The peer address of a node, or empty.
  std::string peer_address(const std::string& node) const {
    const auto observed = observed_addresses.find(node);
    if (observed != observed_addresses.end()) return observed->second;
    for (const control_node& it : options.control_nodes) {
      if (it.name == node) return it.address;
    }
    const auto it = known_nodes.find(node);
    if (it != known_nodes.end()) return it->second.peer_address;
    const membership::node_record* record = nodes.find(node);
    return record == nullptr ? "" : record->last.node.peer_address;
  }

  /// The peer addresses of all known control nodes, including this node if it
  /// is one.
  std::vector<std::string> control_addresses() const {
    std::set<std::string> out;
    for (const control_node& it : options.control_nodes) {
      out.insert(it.address);
    }
    if (out.empty()) out.insert(options.seeds.begin(), options.seeds.end());
    for (const auto& [name, it] : known_nodes) {
      if (it.control) out.insert(it.peer_address);
    }
    for (const membership::node_record* it : nodes.all()) {
      if (it->last.node.control) out.insert(it->last.node.peer_address);
    }
    return {out.begin(), out.end()};
  }
};

}  // namespace trestlepost::node

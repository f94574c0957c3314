#include "region_peers.h"

#include <set>

#include "trestlepost/membership/region_digest.h"
#include "trestlepost/membership/relay_selector.h"

namespace trestlepost::node {

using membership::node_record;

std::map<std::string, std::string> peers_in_region(
    const node_context& context) {
  std::map<std::string, std::string> out;
  for (const auto& [name, it] : context.known_nodes) {
    if (it.region == context.self.region) out[name] = it.peer_address;
  }
  for (const node_record* it : context.nodes.all()) {
    const membership::node_info& node = it->last.node;
    if (node.region == context.self.region) out[node.name] = node.peer_address;
  }
  out.erase(context.self.name);
  return out;
}

bool uses_relays(const node_context& context) {
  return peers_in_region(context).size() + 1 > membership::max_mesh_nodes;
}

std::chrono::milliseconds heartbeat_interval(const node_context& context) {
  return membership::scaled_heartbeat_interval(
      context.options.timing.heartbeat_interval,
      peers_in_region(context).size() + 1, context.nodes.options());
}

std::vector<std::string> other_regions(const node_context& context) {
  std::set<std::string> out;
  for (const auto& [name, it] : context.known_nodes) out.insert(it.region);
  for (const std::string& it : context.nodes.regions()) out.insert(it);
  out.erase(context.self.region);
  return {out.begin(), out.end()};
}

std::vector<std::string> live_relay_addresses(const node_context& context,
                                              const std::string& region) {
  std::vector<std::string> out;
  for (const node_record* it :
       context.nodes.relays_of(region, context.clock.now())) {
    out.push_back(it->last.node.peer_address);
  }
  return out;
}

std::vector<std::string> relay_addresses(const node_context& context,
                                         const std::string& region) {
  std::vector<std::string> out = live_relay_addresses(context, region);
  if (!out.empty()) return out;
  for (const auto& [name, it] : context.known_nodes) {
    const bool has_room = out.size() < membership::relays_per_region;
    if (it.region == region && has_room) out.push_back(it.peer_address);
  }
  return out;
}

}  // namespace trestlepost::node

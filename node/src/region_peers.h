// The peers of a node in its own region and in others, from the leader's node
// directory and from received heartbeats.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "node_context.h"

namespace trestlepost::node {

/// The peer addresses of the other nodes of the own region by name, including
/// nodes that are not reachable now.
std::map<std::string, std::string> peers_in_region(const node_context& context);

/// Whether the region is so large that heartbeats go to its relays only.
/// Unreachable nodes count, too: a region that loses nodes must not switch to
/// another protocol at that moment.
bool uses_relays(const node_context& context);

/// Time between two heartbeats of a node; grows with the size of the region.
std::chrono::milliseconds heartbeat_interval(const node_context& context);

/// The names of all known regions except the own one.
std::vector<std::string> other_regions(const node_context& context);

/// The peer addresses of the relays of a region that are known to be live.
std::vector<std::string> live_relay_addresses(const node_context& context,
                                              const std::string& region);

/// The peer addresses of the relays of a region. If none is known to be live,
/// of nodes in the directory.
std::vector<std::string> relay_addresses(const node_context& context,
                                         const std::string& region);

}  // namespace trestlepost::node

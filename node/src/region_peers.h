// Which peers a node has in its own region and in others, from the leader's
// book and from what was heard.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "node_context.h"

namespace trestlepost::node {

/// The other nodes of the own region by name, with their peers' addresses;
/// those too that are not heard now.
std::map<std::string, std::string> region_mates(const node_context& context);

/// Whether so many nodes belong to the region that heartbeats go to its
/// relays only. Nodes count that are silent now: a region that loses some
/// must not change its ways at that moment.
bool sends_by_relays(const node_context& context);

/// Time between two heartbeats of a node of the own region.
std::chrono::milliseconds heartbeat_interval(const node_context& context);

std::vector<std::string> other_regions(const node_context& context);

/// The peers' addresses of the relays of another region.
std::vector<std::string> relay_addresses(const node_context& context,
                                         const std::string& region);

}  // namespace trestlepost::node

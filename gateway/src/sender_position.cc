#include "trestlepost/gateway/sender_position.h"

#include <cstdint>
#include <vector>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {

std::size_t region_gateway_count(const gateway_context& context) {
  return context.nodes.possible_gateways(context.self, context.clock.now())
             .size() +
         1;
}

routing::sender_position sender_position_of(const gateway_context& context,
                                            const std::string& endpoint) {
  const std::uint64_t own_score = rendezvous_score(endpoint, context.self.name);
  // Unreachable gateways are included. Otherwise, while many gateways stall,
  // too many of the rest would consider themselves one of the few senders.
  const std::vector<const membership::node_record*> others =
      context.nodes.possible_gateways(context.self, context.clock.now());
  routing::sender_position out;
  out.gateways = others.size() + 1;
  for (const membership::node_record* it : others) {
    if (rendezvous_score(endpoint, it->last.node.name) > own_score) ++out.rank;
  }
  return out;
}

}  // namespace trestlepost::gateway

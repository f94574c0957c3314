#include "trestlepost/gateway/sender_position.h"

#include <vector>

namespace trestlepost::gateway {

std::size_t region_gateway_count(const gateway_context& context) {
  return context.nodes.possible_gateways(context.self, context.clock.now())
             .size() +
         1;
}

routing::sender_position sender_position_of(const gateway_context& context,
                                            const std::string& endpoint) {
  // Unreachable gateways are included. Otherwise, while many gateways stall,
  // too many of the rest would consider themselves one of the few senders.
  const std::vector<const membership::node_record*> others =
      context.nodes.possible_gateways(context.self, context.clock.now());
  return {membership::rendezvous_rank(endpoint, context.self.name, others),
          others.size() + 1};
}

}  // namespace trestlepost::gateway

#include "gateway_choice.h"

#include <vector>

namespace trestlepost::gateway {
namespace {

using membership::node_record;

std::uint32_t load_of(const node_record& it, const std::string& service) {
  const auto found = it.last.services.find(service);
  if (found == it.last.services.end()) return 0;
  return found->second.in_flight + found->second.queued;
}

}  // namespace

const node_record* choose_gateway(const gateway_context& context,
                                  const std::string& region,
                                  const std::string& service) {
  const std::vector<const node_record*> candidates =
      context.nodes.forward_targets(region, service, context.self,
                                    context.clock.now());
  if (candidates.empty()) return nullptr;
  const node_record* a = candidates[context.random.below(candidates.size())];
  const node_record* b = candidates[context.random.below(candidates.size())];
  return load_of(*b, service) < load_of(*a, service) ? b : a;
}

}  // namespace trestlepost::gateway

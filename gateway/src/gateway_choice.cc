#include "gateway_choice.h"

namespace trestlepost::gateway {
namespace {

using membership::node_record;

std::uint32_t load_of(const node_record& it, const std::string& service) {
  const auto found = it.last.services.find(service);
  if (found == it.last.services.end()) return 0;
  return found->second.in_flight + found->second.queued;
}

}  // namespace

std::vector<const node_record*> gateway_candidates(
    const gateway_context& context, const std::string& region,
    const std::string& service, const std::set<std::string>& excluded) {
  std::vector<const node_record*> out = context.nodes.forward_targets(
      region, service, context.self, context.clock.now());
  std::erase_if(out, [&excluded](const node_record* it) {
    return excluded.contains(it->last.node.name);
  });
  return out;
}

const node_record* choose_gateway(const gateway_context& context,
                                  const std::string& region,
                                  const std::string& service,
                                  const std::set<std::string>& excluded) {
  const std::vector<const node_record*> candidates =
      gateway_candidates(context, region, service, excluded);
  if (candidates.empty()) return nullptr;
  const node_record* a = candidates[context.random.below(candidates.size())];
  const node_record* b = candidates[context.random.below(candidates.size())];
  return load_of(*b, service) < load_of(*a, service) ? b : a;
}

}  // namespace trestlepost::gateway

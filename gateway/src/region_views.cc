// State of the regions, from own endpoints and advertised loads.
#include "trestlepost/gateway/region_views.h"

#include <algorithm>

namespace trestlepost::gateway {
namespace {

using membership::node_record;
using routing::region_view;
using std::chrono::milliseconds;

constexpr milliseconds default_round_trip{50};

region_view local_view(const gateway_context& context, const admission& local,
                       const std::string& service) {
  const membership::service_load load = local.load_of(service);
  region_view out;
  out.region = context.self.region;
  out.reachable = true;
  out.has_endpoints = load.endpoints > 0;
  out.wait = load.wait;
  return out;
}

region_view remote_view(const gateway_context& context,
                        const std::string& region, const std::string& service) {
  region_view out;
  out.region = region;
  const auto measured = context.round_trips.find(region);
  out.round_trip = measured == context.round_trips.end() ? default_round_trip
                                                         : measured->second;
  bool first = true;
  const monotonic_time now = context.clock.now();
  for (const node_record* it : context.nodes.live_in(region, now)) {
    if (it->last.state != membership::node_states::ready) continue;
    out.reachable = true;
    const auto load = it->last.services.find(service);
    if (load == it->last.services.end() || load->second.endpoints == 0) {
      continue;
    }
    out.has_endpoints = true;
    out.wait =
        first ? load->second.wait : std::min(out.wait, load->second.wait);
    first = false;
  }
  return out;
}

}  // namespace

std::vector<region_view> region_views(const gateway_context& context,
                                      const admission& local,
                                      const std::string& service,
                                      const std::set<std::string>& exhausted) {
  std::vector<region_view> out;
  for (const auto& [name, it] : context.store.regions()) {
    if (exhausted.contains(name)) continue;
    out.push_back(name == context.self.region
                      ? local_view(context, local, service)
                      : remote_view(context, name, service));
  }
  return out;
}

}  // namespace trestlepost::gateway

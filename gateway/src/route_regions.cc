#include "trestlepost/gateway/route_regions.h"

#include <algorithm>

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;

// Until a region's distance is measured.
constexpr milliseconds unknown_round_trip{110};
// What serving away costs, as a share of a request's value: bytes between
// regions, and a prompt that is read again where it is not cached.
constexpr double away_cost = 0.15;
// What a region reads, until its own gateways say how long reading takes.
constexpr double unknown_tokens_per_ms = 80;

/// What the gateways of another region say of a service there.
struct remote_load {
  milliseconds wait{0};
  milliseconds event_interval{0};
  std::uint32_t endpoints = 0;
};

std::optional<remote_load> load_in(const gateway_context& context,
                                   const std::string& region,
                                   const std::string& service) {
  std::optional<remote_load> best;
  for (const membership::node_record* it :
       context.nodes.live_in(region, context.clock.now())) {
    const auto load = it->last.services.find(service);
    const bool open = it->last.state == membership::node_states::ready &&
                      load != it->last.services.end() &&
                      load->second.endpoints > 0;
    if (!open || (best && best->wait <= load->second.wait)) continue;
    best = remote_load{load->second.wait, load->second.event_interval,
                       load->second.endpoints};
  }
  return best;
}

routing::outlook outlook_away(const gateway_context& context,
                              const remote_load& load,
                              const std::string& region,
                              std::uint32_t sent_tokens,
                              const routing::engine_work& work,
                              unsigned tokens_per_event) {
  const auto measured = context.round_trips.find(region);
  const milliseconds distance = measured == context.round_trips.end()
                                    ? unknown_round_trip
                                    : measured->second;
  // What this gateway sent there since is not in the numbers yet.
  const double unseen = sent_tokens / (unknown_tokens_per_ms * load.endpoints);
  const double reading = work.prompt_tokens / unknown_tokens_per_ms;
  const double events =
      static_cast<double>(work.output_tokens) / std::max(1U, tokens_per_event);
  routing::outlook out;
  out.wait =
      load.wait + distance + milliseconds(static_cast<std::int64_t>(unseen));
  out.first_token = out.wait + milliseconds(static_cast<std::int64_t>(reading));
  out.finish = out.first_token +
               milliseconds(static_cast<std::int64_t>(
                   events * static_cast<double>(load.event_interval.count())));
  return out;
}

unsigned tokens_per_event(const routed_request& request) {
  const config::planned_service* service =
      request.plan->find_service(request.service);
  const bool engine = service != nullptr && service->engine.has_value();
  return engine ? service->engine->tokens_per_event : 1;
}

}  // namespace

std::optional<region_decision> choose_region(
    const gateway_context& context, const endpoint_pool& own,
    const route_forwarder& remote, const routed_request& request,
    const std::set<std::string>& exhausted) {
  const monotonic_time now = context.clock.now();
  const routing::expectation wanted = expectation_of(request, now);
  const auto is_candidate = [&request, &exhausted](const std::string& region) {
    return permits_region(*request.route, region) &&
           !exhausted.contains(region);
  };
  std::optional<region_decision> best;
  double best_value = 0;
  const std::string& here = context.self.region;
  if (is_candidate(here)) {
    const result<chosen_endpoint> chosen = own.choose(request);
    if (chosen) {
      best = region_decision{here, *chosen};
      best_value = routing::expected_value(chosen->expected, wanted);
    }
  }
  if (!context.state.may_cross(now)) return best;
  const unsigned per_event = tokens_per_event(request);
  for (const std::string& region : context.nodes.regions()) {
    if (region == here || !is_candidate(region)) continue;
    const std::optional<remote_load> load =
        load_in(context, region, request.service);
    if (!load) continue;
    const routing::outlook expected =
        outlook_away(context, *load, region, remote.unanswered_tokens(region),
                     request.work, per_event);
    const double value = routing::expected_value(expected, wanted) - away_cost;
    if (best && value <= best_value) continue;
    best = region_decision{region, std::nullopt};
    best_value = value;
  }
  return best;
}

}  // namespace trestlepost::gateway

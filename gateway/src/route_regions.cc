// Compares the local region with others by the value of the request there.
#include "trestlepost/gateway/route_regions.h"

#include <algorithm>

#include "gateway_choice.h"
#include "trestlepost/routing/engine_choice.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;

// Assumed until the round-trip time to a region is measured.
constexpr milliseconds default_round_trip{110};
// Cost of serving in another region, as a fraction of a request's value: the
// work of a second gateway, and bandwidth on the link between the regions.
constexpr double forwarding_cost = 0.03;
// Probability that shared prompt sections cached in this region are not cached
// in the other one.
constexpr double remote_miss_probability = 0.5;
// Endpoints may be silent for a second without having failed.
constexpr milliseconds max_silence{1500};

/// The load of a service in another region, as advertised by its gateways.
struct remote_load {
  milliseconds wait{0};
  milliseconds event_interval{0};
  std::uint32_t endpoints = 0;
  /// Mean number of requests that run or wait at one endpoint.
  double running = 0;
};

std::optional<remote_load> load_in(const gateway_context& context,
                                   const std::string& region,
                                   const std::string& service,
                                   const std::set<std::string>& excluded) {
  std::optional<remote_load> best;
  double in_flight = 0;
  for (const membership::node_record* it :
       gateway_candidates(context, region, service, excluded)) {
    const auto load = it->last.services.find(service);
    const bool open =
        load != it->last.services.end() && load->second.endpoints > 0;
    if (open) in_flight += load->second.in_flight;
    if (!open || (best && best->wait <= load->second.wait)) continue;
    best = remote_load{load->second.wait, load->second.event_interval,
                       load->second.endpoints};
  }
  if (best) best->running = in_flight / best->endpoints;
  return best;
}

/// Returns the fraction of the prompt that is shared with other requests.
double shared_prompt_fraction(const routing::engine_work& work) {
  if (work.sections.empty() || work.prompt_tokens == 0) return 0;
  std::uint32_t shared = 0;
  for (const routing::prompt_section& it : work.sections) shared += it.tokens;
  // The last section is specific to the request.
  shared -= work.sections.back().tokens;
  return std::min(1.0, static_cast<double>(shared) / work.prompt_tokens);
}

double remote_cost(const routing::engine_work& work) {
  return forwarding_cost + remote_miss_probability *
                               routing::duplicate_prefill_cost *
                               shared_prompt_fraction(work);
}

unsigned tokens_per_event(const routed_request& request) {
  const config::planned_service* service =
      request.plan->find_service(request.service);
  const bool engine = service != nullptr && service->engine.has_value();
  return engine ? std::max(1U, service->engine->tokens_per_event) : 1;
}

/// Estimates the completion of `request` in `region`, assuming that the engines
/// there process prompts as fast as those of the local region.
routing::completion_estimate estimate_remote_completion(
    const gateway_context& context, const remote_load& load,
    const std::string& region, std::uint32_t sent_tokens,
    const routed_request& request, const routing::engine_table& engines) {
  const auto measured = context.round_trips.find(region);
  const milliseconds round_trip = measured == context.round_trips.end()
                                      ? default_round_trip
                                      : measured->second;
  const routing::engine_work& work = request.work;
  const milliseconds prefill_time =
      engines.prefill_time(request.service, work.prompt_tokens);
  const unsigned events = work.output_tokens / tokens_per_event(request);
  routing::completion_estimate out;
  // The advertised load does not include the requests that this gateway has
  // sent there since.
  out.wait =
      load.wait + round_trip +
      engines.prefill_time(request.service, sent_tokens) / load.endpoints;
  out.first_token = out.wait + prefill_time;
  out.finish = out.first_token + events * load.event_interval;
  out.delay_to_others = milliseconds(static_cast<std::int64_t>(
      load.running * static_cast<double>(prefill_time.count())));
  return out;
}

/// A region with the value of the request there.
struct valued_decision {
  region_decision decision;
  double value = 0;
};

std::optional<valued_decision> evaluate_local_region(
    const gateway_context& context, const endpoint_pool& local_pool,
    const routed_request& request,
    const routing::latency_requirements& requirements) {
  const result<chosen_endpoint> chosen = local_pool.choose(request);
  if (!chosen) return std::nullopt;
  return valued_decision{{context.self.region, *chosen},
                         routing::discounted_value(
                             routing::net_value(chosen->expected, requirements),
                             chosen->accept_probability)};
}

/// Returns the other region with the highest value.
std::optional<valued_decision> evaluate_remote_regions(
    const gateway_context& context, const endpoint_pool& local_pool,
    const route_forwarder& remote, const routed_request& request,
    const routing::latency_requirements& requirements,
    const tried_regions& tried) {
  std::optional<valued_decision> best;
  const double cost = remote_cost(request.work);
  for (const std::string& region : context.nodes.regions()) {
    const bool other = region != context.self.region;
    const bool may_serve =
        request.permits(region) && !tried.others.contains(region);
    if (!other || !may_serve) continue;
    const std::optional<remote_load> load =
        load_in(context, region, request.service, tried.failed_gateways);
    if (!load) continue;
    const routing::completion_estimate expected = estimate_remote_completion(
        context, *load, region, remote.unanswered_tokens(region), request,
        local_pool.engines());
    const double value =
        routing::discounted_value(
            routing::net_value(expected, requirements),
            remote.accept_probability(region, request.service)) -
        cost;
    if (best && value <= best->value) continue;
    best = valued_decision{{region, std::nullopt}, value};
  }
  return best;
}

/// Returns whether this gateway is cut off from the local endpoints, so that
/// another gateway of the region may do better.
bool is_cut_off(const gateway_context& context, const routed_request& request,
                const tried_regions& tried) {
  return tried.own_unreached ||
         context.endpoints.is_unreachable(request.service) ||
         context.endpoints.all_ejected(request.service);
}

/// Returns whether the endpoints have been unreachable for so long that they
/// are not worth an attempt.
bool certainly_unreachable(const gateway_context& context,
                           const std::string& service) {
  const std::optional<monotonic_time> since =
      context.endpoints.unreachable_since(service);
  return since && context.clock.now() >= *since + max_silence;
}

}  // namespace

std::optional<region_decision> choose_region(const gateway_context& context,
                                             const endpoint_pool& local_pool,
                                             const route_forwarder& remote,
                                             const routed_request& request,
                                             const tried_regions& tried) {
  const monotonic_time now = context.clock.now();
  const std::string& own_region = context.self.region;
  const bool own_permitted = request.permits(own_region);
  const bool cut_off = is_cut_off(context, request, tried);
  const bool by_own_gateways =
      own_permitted && cut_off && !tried.own_gateways &&
      !gateway_candidates(context, own_region, request.service,
                          tried.failed_gateways)
           .empty();
  if (by_own_gateways) return region_decision{own_region, std::nullopt};
  const routing::latency_requirements requirements =
      latency_requirements_of(request, context.stop, now);
  std::optional<valued_decision> best_local;
  const bool locally = own_permitted && !tried.own_endpoints &&
                       !certainly_unreachable(context, request.service);
  if (locally) {
    best_local =
        evaluate_local_region(context, local_pool, request, requirements);
  }
  std::optional<valued_decision> best_remote;
  if (context.state.may_cross_regions(now)) {
    best_remote = evaluate_remote_regions(context, local_pool, remote, request,
                                          requirements, tried);
  }
  // What could not be reached just now is a last resort.
  if (best_remote && cut_off) best_local.reset();
  if (!best_local && !best_remote) return std::nullopt;
  if (!best_local) return std::move(best_remote->decision);
  if (!best_remote) return std::move(best_local->decision);
  const double share =
      routing::spill_share(best_local->value, best_remote->value);
  const bool spills = context.random.fraction() < share;
  return std::move(spills ? best_remote->decision : best_local->decision);
}

}  // namespace trestlepost::gateway

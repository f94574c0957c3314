#include "routed_gateway.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/platform/surfaces.h"

namespace trestlepost::node {

routed_gateway::routed_gateway(node_context& context,
                               gateway::gateway_context& gateway,
                               gateway::crash_monitor& crashes,
                               control_service* control,
                               transport::http_handler& others)
    : context_(context),
      surfaces_(platform::make_surfaces()),
      usage_(context, callers_.organisations()),
      pool_(gateway),
      prober_(gateway, *surfaces_.endpoints),
      service_(gateway, surfaces_, pool_, crashes, context.options.retries),
      entry_(gateway, surfaces_, service_, routes_, callers_, usage_.limiter()),
      forwards_(gateway, service_, routes_, callers_, others),
      endpoint_list_(context, surfaces_.directory.get()),
      orders_(context, control, surfaces_.operators.get()),
      directory_(context, surfaces_.entries.get()),
      readiness_(context, surfaces_.entries.get()) {}

void routed_gateway::start() {
  endpoint_list_.on_listed =
      [this](const std::vector<surface::listed_endpoint>& all,
             config::revision_number covered_revision) {
        pool_.update_list(all, covered_revision, context_.options.zone_regions);
      };
  endpoint_list_.start();
  usage_.start();
}

void routed_gateway::tick() {
  const settings& options = context_.options;
  const bool routed = options.surface == surface_kind::platform;
  if (routed && options.gateway) endpoint_list_.tick();
  pool_.tick();
  prober_.tick();
  service_.tick();
  usage_.tick();
}

void routed_gateway::apply_plan(transport::http_server& entry_server) {
  const config::plan_ptr& plan = context_.store.plan();
  if (plan && plan != routes_.plan()) {
    routes_ = routing::route_table(plan);
    callers_.update(*plan);
    const config::request_limits& limits = plan->limits;
    transport::http_server_options next = entry_server.options();
    next.header_limit = limits.header_bytes;
    next.body_limit = limits.body_bytes;
    next.header_timeout = limits.header_timeout;
    next.body_timeout = std::max(limits.header_timeout, limits.idle_timeout);
    next.idle_timeout = limits.idle_timeout;
    entry_server.set_options(next);
    log_event(log_level::info, "plan-in-force",
              {{"number", std::to_string(plan->number)},
               {"routes", std::to_string(plan->routes.size())},
               {"state", std::string(context_.state.name())}});
  }
  pool_.refresh();
}

void routed_gateway::apply_region_sums(
    const membership::endpoint_sums& others) {
  pool_.engines().set_peer_pending(others.pending);
  pool_.record_limit_reports(others.limit_statements);
  for (const membership::cached_prefix& it : others.cached_prefixes) {
    pool_.engines().add_cached_prefix(it);
  }
}

void routed_gateway::add_loads(membership::heartbeat& beat) {
  for (const std::string& it : pool_.services()) {
    beat.services[it] = pool_.load_of(it);
  }
  beat.unreachable_services = context_.endpoints.unreachable_services();
  beat.limit_statements = pool_.own_limit_statements();
  beat.pending_tokens = pool_.engines().own_pending();
  beat.cached_prefixes = pool_.engines().recent_prefixes(context_.clock.now());
}

}  // namespace trestlepost::node

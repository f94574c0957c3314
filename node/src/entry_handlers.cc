#include "entry_handlers.h"

#include <set>
#include <utility>

#include "region_peers.h"

namespace trestlepost::node {
namespace {

using transport::awaitable;
using transport::http_response;

http_response unknown_call(const surface::entry_surface& surface) {
  return surface.refuse({error_kind::not_found, "there is no such call", ""});
}

/// The regions whose availability zones are all evacuated.
std::set<std::string> evacuated_regions(const node_context& context) {
  std::set<std::string> out;
  std::set<std::string> active;
  const auto& evacuated = context.store.evacuated_zones();
  for (const auto& [zone, region] : context.options.zone_regions) {
    (evacuated.contains(zone) ? out : active).insert(region);
  }
  for (const std::string& it : active) out.erase(it);
  return out;
}

/// The regions in which requests for `host` may run.
membership::host_regions regions_of(const node_context& context,
                                    const std::string& host) {
  membership::host_regions out;
  const config::plan_ptr& plan = context.store.plan();
  if (!plan) return out;
  out.evacuated = evacuated_regions(context);
  std::set<std::string> homes;
  bool has_route = false;
  bool unrestricted = false;
  for (const config::route& it : plan->routes) {
    if (it.host != host) continue;
    has_route = true;
    unrestricted = unrestricted || it.home_regions.empty();
    homes.insert(it.home_regions.begin(), it.home_regions.end());
  }
  out.homes.assign(homes.begin(), homes.end());
  out.all_routes_bound = has_route && !unrestricted;
  return out;
}

/// In heartbeat intervals. The loss of one or two heartbeats must not remove
/// the entries of a region from the directory.
constexpr int max_missed_heartbeats = 4;

}  // namespace

awaitable<void> directory_handler::handle(transport::http_exchange& exchange) {
  const result<transport::request_body> body = co_await exchange.read_body();
  const std::optional<membership::entry_query> query =
      surface_->read_query(exchange.method(), exchange.target());
  http_response out;
  if (!body && body.error().kind == error_kind::overloaded) {
    out = surface_->refuse(body.error());
  } else if (!query || !body) {
    out = unknown_call(*surface_);
  } else {
    const membership::directory_options options{
        context_.self.region,
        max_missed_heartbeats * heartbeat_interval(context_)};
    const std::vector<membership::entry_view> entries =
        membership::find_entries(context_.nodes, *query,
                                 regions_of(context_, query->host), options,
                                 context_.clock.now());
    if (entries.empty()) {
      out = surface_->refuse(
          {error_kind::unavailable, "no entry is known to be ready", ""});
    } else {
      out = surface_->show_entries(entries,
                                   context_.options.timing.directory_lifetime);
    }
  }
  co_await exchange.respond(std::move(out));
}

awaitable<void> readiness_handler::handle(transport::http_exchange& exchange) {
  const result<transport::request_body> body = co_await exchange.read_body();
  const bool is_query =
      surface_->is_readiness_query(exchange.method(), exchange.target());
  http_response out;
  if (!body && body.error().kind == error_kind::overloaded) {
    out = surface_->refuse(body.error());
  } else if (is_query && body) {
    const surface::node_report report{
        context_.state.serves_callers() && context_.store.plan() != nullptr,
        std::string(context_.state.name()), context_.store.revision()};
    out = surface_->show_readiness(report);
  } else {
    out = unknown_call(*surface_);
  }
  co_await exchange.respond(std::move(out));
}

}  // namespace trestlepost::node

#include "entry_handlers.h"

#include <set>
#include <utility>

namespace trestlepost::node {
namespace {

using transport::awaitable;
using transport::http_answer;

http_answer unknown_call(const surface::entry_surface& surface) {
  return surface.refuse({error_kind::not_found, "there is no such call", ""});
}

/// The regions that routes of `host` are bound to; empty: none.
std::vector<std::string> home_regions(const config::plan_ptr& plan,
                                      const std::string& host) {
  std::set<std::string> out;
  if (!plan) return {};
  for (const config::route& it : plan->routes) {
    if (it.host != host) continue;
    out.insert(it.home_regions.begin(), it.home_regions.end());
  }
  return {out.begin(), out.end()};
}

}  // namespace

awaitable<void> directory_handler::handle(transport::http_exchange& exchange) {
  const result<std::string> body = co_await exchange.read_body();
  const std::optional<membership::entry_query> query =
      surface_->read_query(exchange.method(), exchange.target());
  http_answer out;
  if (!query || !body) {
    out = unknown_call(*surface_);
  } else {
    const std::vector<membership::entry_view> entries =
        membership::entries_near(
            context_.nodes, *query,
            home_regions(context_.store.plan(), query->host),
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
  const result<std::string> body = co_await exchange.read_body();
  const bool asked =
      surface_->asks_readiness(exchange.method(), exchange.target());
  http_answer out;
  if (asked && body) {
    const surface::node_report report{
        context_.state.serves_callers() && context_.store.plan() != nullptr,
        context_.state.name(), context_.store.revision()};
    out = surface_->show_readiness(report);
  } else {
    out = unknown_call(*surface_);
  }
  co_await exchange.respond(std::move(out));
}

}  // namespace trestlepost::node

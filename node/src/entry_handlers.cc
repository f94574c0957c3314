#include "entry_handlers.h"

#include <algorithm>
#include <utility>

namespace trestlepost::node {
namespace {

using transport::awaitable;
using transport::http_answer;

http_answer unknown_call(const surface::entry_surface& surface) {
  return surface.refuse({error_kind::not_found, "there is no such call", ""});
}

/// The entries of the asker's region; all of them when it has none.
std::vector<membership::entry_view> near_entries(
    std::vector<membership::entry_view> all, const std::string& region) {
  std::vector<membership::entry_view> near;
  for (const membership::entry_view& it : all) {
    if (it.region == region) near.push_back(it);
  }
  return near.empty() ? all : near;
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
    const std::vector<membership::entry_view> entries = near_entries(
        membership::rank_entries(context_.nodes, *query, context_.clock.now()),
        query->near_region);
    if (entries.empty()) {
      out = surface_->refuse(
          {error_kind::unavailable, "no entry is known to be ready", ""});
    } else {
      out = surface_->show_entries(
          entries, context_.options.timing.directory_lifetime);
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
    const bool ready =
        context_.state.serves_callers() && context_.store.plan() != nullptr;
    out = surface_->show_readiness(ready);
  } else {
    out = unknown_call(*surface_);
  }
  co_await exchange.respond(std::move(out));
}

}  // namespace trestlepost::node

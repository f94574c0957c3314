// Route lookup by host and path prefix, and weighted choice of a service.
#include "trestlepost/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace trestlepost::routing {
namespace {

std::string canonical_host(std::string_view host) {
  std::string out(host.substr(0, host.find(':')));
  std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return out;
}

/// Returns the next shorter prefix that ends with a slash, or an empty string.
std::string_view shorter_prefix(std::string_view prefix) {
  if (prefix.size() < 2) return {};
  const std::size_t slash = prefix.rfind('/', prefix.size() - 2);
  if (slash == std::string_view::npos) return {};
  return prefix.substr(0, slash + 1);
}

}  // namespace

route_table::route_table(config::plan_ptr plan) : plan_(std::move(plan)) {
  if (!plan_) return;
  for (const config::route& it : plan_->routes) {
    hosts_[canonical_host(it.host)][it.path_prefix] = &it;
  }
}

const config::route* route_table::find(std::string_view host,
                                       std::string_view path) const {
  const auto at = hosts_.find(canonical_host(host));
  if (at == hosts_.end()) return nullptr;
  std::string_view prefix = path.substr(0, path.rfind('/') + 1);
  while (!prefix.empty()) {
    const auto it = at->second.find(prefix);
    if (it != at->second.end()) return it->second;
    prefix = shorter_prefix(prefix);
  }
  return nullptr;
}

const std::string& choose_service(const config::route& route,
                                  random_source& random) {
  std::uint64_t sum = 0;
  for (const config::weighted_service& it : route.split) sum += it.weight;
  std::uint64_t point = random.below(sum);
  for (const config::weighted_service& it : route.split) {
    if (point < it.weight) return it.service;
    point -= it.weight;
  }
  return route.split.back().service;
}

}  // namespace trestlepost::routing

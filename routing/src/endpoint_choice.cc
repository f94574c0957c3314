// Endpoint choice by rendezvous hashing with bounded loads for requests with a
// prefix affinity, and by the better of two random choices for others.
#include "trestlepost/routing/endpoint_choice.h"

#include <algorithm>
#include <cmath>

#include "trestlepost/base/hash.h"

namespace trestlepost::routing {
namespace {

using membership::endpoint_view;

// An endpoint may exceed the mean relative load by this factor before prefix
// affinity is ignored.
constexpr double bounded_load_factor = 1.25;

/// Returns whether the endpoint can accept one more request. The gateways of a
/// region together stay below its limit, but each may always use an even share
/// of it, so that delayed load reports do not starve a gateway.
bool has_room(const endpoint_view& it, unsigned gateways) {
  const double even_share = std::floor(it.limit / std::max(1U, gateways));
  return it.load + 1 <= it.limit || it.own_in_flight + 1 <= even_share;
}

std::vector<const endpoint_view*> with_room(
    const std::vector<endpoint_view>& endpoints,
    const endpoint_request& request, bool respect_avoid) {
  std::vector<const endpoint_view*> out;
  for (const endpoint_view& it : endpoints) {
    if (!it.usable || !has_room(it, request.gateways)) continue;
    if (respect_avoid && request.avoid.contains(it.name)) continue;
    out.push_back(&it);
  }
  return out;
}

double relative_load(const endpoint_view& it) {
  return it.load / it.limit;
}

const endpoint_view* better_of_two(
    const std::vector<const endpoint_view*>& open, random_source& random) {
  const endpoint_view* a = open[random.below(open.size())];
  const endpoint_view* b = open[random.below(open.size())];
  return relative_load(*b) < relative_load(*a) ? b : a;
}

const endpoint_view* by_affinity(const std::vector<const endpoint_view*>& open,
                                 std::uint64_t affinity) {
  double total_load = 0;
  double total_limit = 0;
  for (const endpoint_view* it : open) {
    total_load += it->load;
    total_limit += it->limit;
  }
  const double mean = (total_load + 1) / total_limit;
  const std::string key = std::to_string(affinity);
  const endpoint_view* best = nullptr;
  std::uint64_t best_score = 0;
  for (const endpoint_view* it : open) {
    const double bound =
        std::max(1.0, std::ceil(bounded_load_factor * mean * it->limit));
    if (it->load + 1 > bound) continue;
    const std::uint64_t score = rendezvous_score(key, it->name);
    if (best == nullptr || score > best_score) {
      best = it;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

std::optional<endpoint_view> choose_endpoint(
    const std::vector<endpoint_view>& endpoints,
    const endpoint_request& request, random_source& random) {
  std::vector<const endpoint_view*> open = with_room(endpoints, request, true);
  if (open.empty()) open = with_room(endpoints, request, false);
  if (open.empty()) return std::nullopt;
  const endpoint_view* chosen = nullptr;
  if (request.affinity != 0) chosen = by_affinity(open, request.affinity);
  if (chosen == nullptr) chosen = better_of_two(open, random);
  return *chosen;
}

unsigned free_slots(const std::vector<endpoint_view>& endpoints,
                    unsigned gateways) {
  double free = 0;
  for (const endpoint_view& it : endpoints) {
    if (!it.usable) continue;
    const double even_share = std::floor(it.limit / std::max(1U, gateways));
    const double room =
        std::max(it.limit - it.load, even_share - it.own_in_flight);
    free += std::max(0.0, std::floor(room));
  }
  return static_cast<unsigned>(free);
}

}  // namespace trestlepost::routing

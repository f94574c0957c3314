// Ranks regions by cost: queue wait, round trip and penalties away from home.
#include "trestlepost/routing/region_choice.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const region_view* find_view(const std::vector<region_view>& views,
                             const std::string& region) {
  for (const region_view& it : views) {
    if (it.region == region) return &it;
  }
  return nullptr;
}

/// Returns why a region can't serve the request, or an empty string.
std::string ineligibility_reason(const std::string& region,
                                 const placement& placed,
                                 const region_view* view,
                                 const region_request& request, policy kind) {
  const bool is_local = region == request.local_region;
  if (!is_local && !request.may_leave_region) return "this node is isolated";
  const bool home_only = request.bound_to_home || kind == policy::home_only;
  if (home_only && region != placed.home)
    return "only the home region may serve it";
  if (view == nullptr) return "its state is unknown";
  if (!is_local && !view->reachable) return "none of its gateways is reachable";
  if (!view->has_endpoints) return "no usable endpoint of the service";
  return {};
}

milliseconds cost_of(const std::string& region, const placement& placed,
                     const region_view& view, const region_request& request,
                     const region_choice_options& options) {
  milliseconds cost = view.wait;
  if (options.kind == policy::least_load) return cost;
  if (region != request.local_region) cost += view.round_trip;
  if (region != placed.home) cost += options.cold_cost + placed.away_penalty;
  return cost;
}

void rotate_eligible(std::vector<region_candidate>& ranked,
                     std::uint64_t sequence) {
  const auto end =
      std::find_if(ranked.begin(), ranked.end(),
                   [](const region_candidate& it) { return !it.eligible; });
  const std::ptrdiff_t n = end - ranked.begin();
  if (n < 2) return;
  std::rotate(ranked.begin(),
              ranked.begin() + static_cast<std::ptrdiff_t>(
                                   sequence % static_cast<std::uint64_t>(n)),
              end);
}

}  // namespace

std::vector<region_candidate> rank_regions(
    const placement& placed, const std::vector<region_view>& views,
    const region_request& request, const region_choice_options& options) {
  std::vector<region_candidate> out;
  for (const std::string& region : placed.permitted) {
    const region_view* view = find_view(views, region);
    region_candidate one;
    one.region = region;
    one.reason =
        ineligibility_reason(region, placed, view, request, options.kind);
    one.eligible = one.reason.empty();
    if (one.eligible) {
      one.cost = cost_of(region, placed, *view, request, options);
      one.reason = region == placed.home ? "home" : "away";
    }
    out.push_back(std::move(one));
  }
  const auto better = [&placed](const region_candidate& a,
                                const region_candidate& b) {
    if (a.eligible != b.eligible) return a.eligible;
    if (a.cost != b.cost) return a.cost < b.cost;
    return (a.region == placed.home) > (b.region == placed.home);
  };
  std::stable_sort(out.begin(), out.end(), better);
  if (options.kind == policy::round_robin) {
    std::stable_sort(out.begin(), out.end(),
                     [](const region_candidate& a, const region_candidate& b) {
                       if (a.eligible != b.eligible) return a.eligible;
                       return a.eligible && a.region < b.region;
                     });
    rotate_eligible(out, request.sequence);
  }
  return out;
}

}  // namespace trestlepost::routing

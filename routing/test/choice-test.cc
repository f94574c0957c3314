// Region choice, endpoint choice and retry budgets.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

#include "trestlepost/routing/endpoint_choice.h"
#include "trestlepost/routing/region_choice.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {
namespace {

using membership::endpoint_view;
using std::chrono::milliseconds;

placement two_regions(milliseconds penalty) {
  placement out;
  out.permitted = {"golfo", "isola"};
  out.home = "isola";
  out.away_penalty = penalty;
  return out;
}

region_view view(const std::string& region, int wait_ms) {
  return {region, true, true, milliseconds(wait_ms), milliseconds(20)};
}

struct spill_case {
  int home_wait;
  int away_wait;
  int penalty;
  const char* expected;
};

TEST(region_choice_test, spills_when_waiting_at_home_costs_more_than_leaving) {
  const spill_case cases[] = {
      {0, 0, 0, "isola"},     {100, 0, 0, "isola"},   {171, 0, 0, "golfo"},
      {171, 0, 500, "isola"}, {700, 0, 500, "golfo"}, {700, 100, 500, "isola"},
  };
  for (const spill_case& it : cases) {
    const std::vector<region_candidate> ranked =
        rank_regions(two_regions(milliseconds(it.penalty)),
                     {view("isola", it.home_wait), view("golfo", it.away_wait)},
                     {"isola", true, false, 0}, {});
    EXPECT_EQ(ranked[0].region, it.expected)
        << it.home_wait << " " << it.away_wait << " " << it.penalty;
  }
}

TEST(region_choice_test, an_isolated_node_uses_the_local_region_only) {
  const std::vector<region_candidate> ranked = rank_regions(
      two_regions(milliseconds(0)), {view("isola", 90000), view("golfo", 0)},
      {"isola", false, false, 0}, {});
  EXPECT_EQ(ranked[0].region, "isola");
  EXPECT_FALSE(ranked[1].eligible);
}

TEST(region_choice_test, a_bound_request_stays_at_home) {
  region_view home = view("isola", 0);
  home.has_endpoints = false;
  const std::vector<region_candidate> ranked =
      rank_regions(two_regions(milliseconds(0)), {home, view("golfo", 0)},
                   {"isola", true, true, 0}, {});
  for (const region_candidate& it : ranked) EXPECT_FALSE(it.eligible);
}

RC_GTEST_PROP(region_choice_property, only_permitted_regions_are_ranked,
              (std::uint64_t seed)) {
  seeded_random random(seed);
  placement placed;
  std::vector<region_view> views;
  for (const char* name : {"a", "b", "c", "d"}) {
    if (random.below(2) == 0) placed.permitted.emplace_back(name);
    region_view one = view(name, static_cast<int>(random.below(2000)));
    one.reachable = random.below(4) != 0;
    one.has_endpoints = random.below(4) != 0;
    views.push_back(one);
  }
  if (placed.permitted.empty()) return;
  placed.home = placed.permitted[random.below(placed.permitted.size())];
  region_choice_options options;
  options.kind = static_cast<policy>(random.below(4));
  const region_request request{"a", random.below(2) == 0, random.below(3) == 0,
                               random.next()};
  const std::vector<region_candidate> ranked =
      rank_regions(placed, views, request, options);
  RC_ASSERT(ranked.size() == placed.permitted.size());
  for (const region_candidate& it : ranked) {
    RC_ASSERT(placed.permits(it.region));
    if (!it.eligible) continue;
    RC_ASSERT(request.may_leave_region || it.region == "a");
    RC_ASSERT(!request.bound_to_home || it.region == placed.home);
  }
}

std::vector<endpoint_view> endpoints(int n, double limit) {
  std::vector<endpoint_view> out;
  for (int i = 0; i < n; ++i) {
    endpoint_view one;
    one.name = "e" + std::to_string(i);
    one.usable = true;
    one.limit = limit;
    out.push_back(one);
  }
  return out;
}

TEST(endpoint_choice_test,
     a_prefix_stays_on_one_endpoint_below_the_load_bound) {
  seeded_random random(1);
  const std::vector<endpoint_view> all = endpoints(4, 8);
  const std::string first = choose_endpoint(all, {77, {}, 1}, random)->name;
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(choose_endpoint(all, {77, {}, 1}, random)->name, first);
  }
}

TEST(endpoint_choice_test,
     a_hot_prefix_is_spread_before_it_overloads_an_endpoint) {
  seeded_random random(1);
  std::vector<endpoint_view> all = endpoints(4, 8);
  for (int i = 0; i < 16; ++i) {
    const std::string name = choose_endpoint(all, {77, {}, 1}, random)->name;
    for (endpoint_view& it : all) {
      if (it.name == name) it.load += 1;
    }
  }
  for (const endpoint_view& it : all) EXPECT_LE(it.load, 6) << it.name;
}

TEST(endpoint_choice_test, full_and_leaving_endpoints_get_nothing) {
  seeded_random random(1);
  std::vector<endpoint_view> all = endpoints(2, 4);
  all[0].load = 4;
  all[0].own_in_flight = 4;
  all[1].usable = false;
  EXPECT_FALSE(choose_endpoint(all, {0, {}, 1}, random));
  EXPECT_EQ(free_slots(all, 1), 0U);
}

TEST(endpoint_choice_test, a_gateway_keeps_its_even_share_of_a_limit) {
  seeded_random random(1);
  std::vector<endpoint_view> all = endpoints(1, 9);
  all[0].load = 9;
  all[0].own_in_flight = 2;
  EXPECT_TRUE(choose_endpoint(all, {0, {}, 3}, random));
  all[0].own_in_flight = 3;
  EXPECT_FALSE(choose_endpoint(all, {0, {}, 3}, random));
}

TEST(endpoint_choice_test, a_failed_endpoint_is_avoided_while_others_are_free) {
  seeded_random random(1);
  const std::vector<endpoint_view> all = endpoints(2, 4);
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(choose_endpoint(all, {5, {"e0"}, 1}, random)->name, "e1");
  }
}

TEST(retry_budget_test, gateways_together_stay_within_shared_limits) {
  const shared_retry_limits limits{0.2, 54};
  const monotonic_time now{std::chrono::seconds(1000)};
  for (const std::size_t gateways : {1U, 7U, 61U, 300U}) {
    constexpr int requests = 50;  // per gateway, in one window
    int retries = 0;
    for (std::size_t i = 0; i < gateways; ++i) {
      shared_retry_budget budget(limits);
      budget.set_limits(limits, gateways);
      for (int n = 0; n < requests; ++n) {
        budget.add_request(now);
        while (budget.at(now).try_take()) ++retries;
      }
    }
    EXPECT_LE(retries, limits.ratio * requests * gateways + limits.slack)
        << gateways;
  }
}

TEST(retry_budget_test, a_smaller_share_drops_saved_retries_above_it) {
  shared_retry_budget budget({0.2, 100});
  const monotonic_time now{std::chrono::seconds(1000)};
  for (int n = 0; n < 1000; ++n) budget.add_request(now);
  EXPECT_GT(budget.at(now).saved(), 1);
  budget.set_limits({0.2, 100}, 50);
  EXPECT_TRUE(budget.at(now).try_take());
  EXPECT_FALSE(budget.at(now).try_take());
}

// A gateway with few requests could retry none of those that failed together.
TEST(retry_budget_test, few_requests_save_several_retries) {
  shared_retry_budget budget({0.2, 70});
  budget.set_limits({0.2, 70}, 2);
  const monotonic_time now{std::chrono::seconds(1000)};
  for (int n = 0; n < 20; ++n) budget.add_request(now);
  EXPECT_GT(budget.at(now).saved(), 3);
}

TEST(retry_budget_test,
     an_outage_adds_retries_for_at_most_a_tenth_of_the_requests) {
  retry_budget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.add_request();
    while (budget.try_take()) ++retries;
  }
  EXPECT_LE(retries, 100);
  EXPECT_GE(retries, 98);
}

}  // namespace
}  // namespace trestlepost::routing

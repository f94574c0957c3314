// Tests the differences between plans, their size, and updates of watchers.
#include "trestlepost/config/plan_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "trestlepost/config/state_machine.h"

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

route route_at(int place, int timeout_ms) {
  route out;
  out.name = "r-" + std::to_string(place);
  out.host = "a.example";
  out.path_prefix = "/" + std::to_string(place) + "/";
  out.timeout = milliseconds(timeout_ms);
  out.split = {{"plain", 1}};
  return out;
}

traffic_plan plan_of(plan_number number, int routes) {
  traffic_plan out;
  out.number = number;
  out.services.push_back({"plain", "/health", 50, milliseconds(0), 0, {}});
  for (int n = 0; n < routes; ++n) out.routes.push_back(route_at(n, 1000));
  out.document = "{\"number\":" + std::to_string(number) + "}";
  return out;
}

traffic_plan any_plan(plan_number number) {
  traffic_plan out = plan_of(number, 0);
  for (int place = 0; place < 8; ++place) {
    const int timeout_ms = *rc::gen::inRange(0, 4);
    if (timeout_ms > 0) out.routes.push_back(route_at(place, timeout_ms));
  }
  if (*rc::gen::arbitrary<bool>()) out.services.front().most_connections = 7;
  if (*rc::gen::arbitrary<bool>()) out.limits.body_bytes = 9;
  return out;
}

std::vector<route> sorted_routes(traffic_plan plan) {
  std::sort(plan.routes.begin(), plan.routes.end(),
            [](const route& a, const route& b) { return a.name < b.name; });
  return plan.routes;
}

consensus::entry entry_of(const traffic_plan& plan) {
  change requested;
  requested.id = "plan-" + std::to_string(plan.number);
  requested.plan = std::make_shared<const traffic_plan>(plan);
  consensus::entry out;
  out.type = consensus::entry_type::command;
  out.data = to_text(to_json(requested));
  return out;
}

RC_GTEST_PROP(plan_delta_test, applied_delta_produces_the_target_plan, ()) {
  const traffic_plan before = any_plan(1);
  const traffic_plan after = any_plan(2);
  const bool first = *rc::gen::arbitrary<bool>();
  const traffic_plan* base = first ? nullptr : &before;
  const result<plan_delta> sent =
      plan_delta_from(to_json(make_plan_delta(base, after)));
  RC_ASSERT(sent.has_value());
  const traffic_plan got = apply_plan_delta(base, *sent);
  RC_ASSERT(got.number == after.number);
  RC_ASSERT(sorted_routes(got) == sorted_routes(after));
  RC_ASSERT(got.services == after.services);
  RC_ASSERT(got.limits == after.limits);
}

TEST(plan_delta_test, small_change_of_large_plan_is_small_update) {
  config_state_machine machine;
  machine.apply(entry_of(plan_of(1, 4000)));
  traffic_plan next = plan_of(2, 4000);
  next.routes[17].timeout = milliseconds(77);
  machine.apply(entry_of(next));
  constexpr std::size_t max_bytes = 2000;
  const watch_update update = machine.update_since(1);
  EXPECT_LT(to_text(to_json(update)).size(), max_bytes);
  object_store watcher;
  ASSERT_TRUE(apply_update(watcher, machine.update_since(0)));
  EXPECT_EQ(watcher.plan()->routes, next.routes);
}

TEST(plan_delta_test, watcher_far_behind_receives_whole_plan) {
  config_state_machine machine;
  for (plan_number n = 1; n <= 40; ++n) {
    traffic_plan plan = plan_of(n, 3);
    plan.routes[0].timeout = milliseconds(n);
    machine.apply(entry_of(plan));
  }
  EXPECT_TRUE(machine.update_since(0).whole);
  EXPECT_FALSE(machine.update_since(39).whole);
  object_store watcher;
  ASSERT_TRUE(apply_update(watcher, machine.update_since(0)));
  EXPECT_EQ(watcher.plan()->number, 40U);
}

TEST(plan_delta_test, history_survives_snapshot) {
  config_state_machine machine;
  machine.apply(entry_of(plan_of(1, 10)));
  machine.apply(entry_of(plan_of(2, 12)));
  config_state_machine restored;
  restored.load(machine.save());
  EXPECT_EQ(restored.update_since(1).changes.size(), 1U);
  EXPECT_EQ(restored.store().plan()->document, plan_of(2, 0).document);
}

}  // namespace
}  // namespace trestlepost::config

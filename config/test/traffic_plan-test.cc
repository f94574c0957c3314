// Tests validation of traffic plans, the rule that the highest number is in
// force, and the plan that watchers receive.
#include "trestlepost/config/traffic_plan.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <functional>

#include "trestlepost/config/state_machine.h"

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

traffic_plan make_plan(plan_number number) {
  traffic_plan out;
  out.number = number;
  out.services.push_back(
      {"model", "/health", 620, milliseconds(3000), 3.5,
       engine_profile{128, 656'500, 35136, 1e6, true, true, 7, 12,
                      milliseconds(4000), milliseconds(2000),
                      milliseconds(5000)}});
  out.services.push_back({"plain", "/health", 100, milliseconds(0), 0, {}});
  route one;
  one.name = "r";
  one.host = "a.example";
  one.path_prefix = "/x/";
  one.kind = route_kind::stream;
  one.timeout = milliseconds(12'000);
  one.latency_objective = milliseconds(1000);
  one.longest_pause = milliseconds(400);
  one.priority = 1;
  one.attempts = 2;
  one.prefix_affinity = true;
  one.resumable = true;
  one.split = {{"model", 90}, {"plain", 10}};
  one.home_regions = {"north", "south"};
  out.routes.push_back(one);
  out.document = "{\"as\":\"sent\"}";
  return out;
}

consensus::entry entry_of(const change& requested) {
  consensus::entry out;
  out.type = consensus::entry_type::command;
  out.data = to_text(to_json(requested));
  return out;
}

change plan_change(const traffic_plan& plan, const std::string& id) {
  change out;
  out.id = id;
  out.operator_name = "operator";
  out.plan = std::make_shared<const traffic_plan>(plan);
  return out;
}

change evacuation_change(const std::string& zone, bool evacuated,
                         const std::string& id) {
  change out;
  out.id = id;
  out.evacuation = zone_evacuation{zone, evacuated};
  return out;
}

TEST(traffic_plan_test, json_round_trip_keeps_plan) {
  const traffic_plan plan = make_plan(7);
  const result<traffic_plan> read =
      traffic_plan_from(to_json(plan, plan_form::full));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->number, 7U);
  EXPECT_EQ(read->routes, plan.routes);
  EXPECT_EQ(read->services, plan.services);
  EXPECT_EQ(read->limits, plan.limits);
  EXPECT_EQ(read->document, plan.document);
  EXPECT_TRUE(traffic_plan_from(to_json(plan, plan_form::without_document))
                  ->document.empty());
}

struct invalid_plan_case {
  const char* what;
  std::function<void(traffic_plan&)> modify;
};

TEST(traffic_plan_test, invalid_plans_are_rejected_with_remedy) {
  const std::vector<invalid_plan_case> table{
      {"unknown service",
       [](traffic_plan& it) {
         it.routes[0].split = {{"none", 1}};
       }},
      {"two routes with one host and path prefix",
       [](traffic_plan& it) { it.routes.push_back(it.routes[0]); }},
      {"weights sum to 0",
       [](traffic_plan& it) {
         it.routes[0].split = {{"model", 0}};
       }},
      {"no service at all",
       [](traffic_plan& it) { it.routes[0].split.clear(); }},
      {"timeout of 0",
       [](traffic_plan& it) { it.routes[0].timeout = milliseconds(0); }},
      {"prefix without slash",
       [](traffic_plan& it) { it.routes[0].path_prefix = "/x"; }},
      {"no host", [](traffic_plan& it) { it.routes[0].host.clear(); }},
      {"service twice",
       [](traffic_plan& it) { it.services.push_back(it.services[0]); }},
  };
  EXPECT_TRUE(validate_plan(make_plan(1)));
  for (const invalid_plan_case& it : table) {
    traffic_plan plan = make_plan(1);
    it.modify(plan);
    const result<void> checked = validate_plan(plan);
    ASSERT_FALSE(checked) << it.what;
    EXPECT_FALSE(checked.error().remedy.empty()) << it.what;
  }
}

TEST(traffic_plan_test, invalid_plan_with_old_number_is_rejected) {
  config_state_machine machine;
  machine.apply(entry_of(plan_change(make_plan(7), "a")));
  traffic_plan old = make_plan(3);
  old.routes[0].timeout = milliseconds(0);
  machine.apply(entry_of(plan_change(old, "b")));
  EXPECT_EQ(machine.result_of("b")->status, change_status::invalid);
  EXPECT_EQ(machine.store().plan()->number, 7U);
}

TEST(traffic_plan_test, same_or_lower_number_changes_nothing) {
  config_state_machine machine;
  machine.apply(entry_of(plan_change(make_plan(7), "a")));
  traffic_plan other = make_plan(7);
  other.routes[0].host = "b.example";
  machine.apply(entry_of(plan_change(other, "b")));
  machine.apply(entry_of(plan_change(make_plan(6), "c")));
  EXPECT_EQ(machine.result_of("b")->status, change_status::accepted);
  EXPECT_EQ(machine.result_of("c")->status, change_status::accepted);
  EXPECT_EQ(machine.store().revision(), 1U);
  EXPECT_EQ(machine.store().plan()->routes[0].host, "a.example");
}

TEST(traffic_plan_test, snapshot_restores_plan_and_evacuations) {
  config_state_machine machine;
  machine.apply(entry_of(plan_change(make_plan(7), "a")));
  machine.apply(entry_of(evacuation_change("z1", true, "b")));
  config_state_machine restored;
  restored.load(machine.save());
  ASSERT_TRUE(restored.store().plan());
  EXPECT_EQ(restored.store().plan()->document, make_plan(7).document);
  EXPECT_TRUE(restored.store().evacuated_zones().contains("z1"));
  EXPECT_EQ(restored.store().revision(), 2U);
  machine.apply(entry_of(evacuation_change("z1", false, "c")));
  restored.load(machine.save());
  EXPECT_TRUE(restored.store().evacuated_zones().empty());
  EXPECT_EQ(restored.store().ended_evacuations().at("z1"), 3U);
}

// A group that was recovered, or founded anew, counted on from what it had, so
// watchers of the lost group took its changes for old ones.
TEST(traffic_plan_test, new_epoch_is_newer_than_all_revisions_before_it) {
  config_state_machine machine;
  machine.apply(entry_of(plan_change(make_plan(7), "a")));
  change epoch;
  epoch.id = "epoch";
  epoch.epoch = 3;
  machine.apply(entry_of(epoch));
  const revision_number first = machine.store().revision();
  EXPECT_EQ(first, first_revision_of(3));
  EXPECT_EQ(epoch_of(first), 3U);
  // Nobody can be brought up to date by changes from before the epoch.
  for (const revision_number from :
       {revision_number{0}, revision_number{1}, first - 1}) {
    EXPECT_TRUE(machine.update_since(from).whole) << from;
  }
  epoch.id = "lower";
  epoch.epoch = 2;
  machine.apply(entry_of(epoch));
  EXPECT_EQ(machine.result_of("lower")->status, change_status::accepted);
  EXPECT_EQ(machine.store().revision(), first);
  machine.apply(entry_of(evacuation_change("z1", true, "b")));
  EXPECT_EQ(machine.store().revision(), first + 1);
  EXPECT_EQ(machine.update_since(first).changes.size(), 1U);
  config_state_machine restored;
  ASSERT_TRUE(restored.load(machine.save()));
  EXPECT_EQ(restored.store().revision(), first + 1);
}

TEST(traffic_plan_test, evacuations_missing_in_another_group_have_ended) {
  object_store before;
  before.set_evacuated("z1", true, 4);
  before.set_evacuated("z2", true, 5);
  object_store next;
  next.set_evacuated("z2", true, 2);
  next.set_revision(first_revision_of(1));
  next.end_missing_evacuations(before);
  EXPECT_EQ(next.evacuated_zones(), std::set<std::string>{"z2"});
  EXPECT_EQ(next.ended_evacuations().at("z1"), first_revision_of(1));
  EXPECT_FALSE(next.ended_evacuations().contains("z2"));
}

// An order that was delayed was decided after a newer one for the same zone.
TEST(traffic_plan_test, evacuation_order_overtaken_by_a_newer_one_is_rejected) {
  config_state_machine machine;
  machine.apply(entry_of(evacuation_change("z1", true, "start")));
  machine.apply(entry_of(evacuation_change("z1", false, "stop")));
  machine.apply(entry_of(evacuation_change("z2", true, "other zone")));
  machine.apply(entry_of(evacuation_change("z1", true, "start again")));
  ASSERT_EQ(machine.store().last_change_of("z1"), 4U);
  const auto end_given_after = [&machine](revision_number base,
                                          const std::string& id) {
    change order = evacuation_change("z1", false, id);
    order.evacuation->base = base;
    machine.apply(entry_of(order));
    return machine.result_of(id)->status;
  };
  for (const revision_number base : {0U, 1U, 2U, 3U}) {
    EXPECT_EQ(end_given_after(base, std::to_string(base)),
              change_status::conflict);
  }
  // A snapshot keeps what orders are compared with.
  config_state_machine restored;
  ASSERT_TRUE(restored.load(machine.save()));
  machine = std::move(restored);
  EXPECT_EQ(end_given_after(3, "restored"), change_status::conflict);
  EXPECT_TRUE(machine.store().evacuated_zones().contains("z1"));
  EXPECT_EQ(end_given_after(4, "newer"), change_status::accepted);
  // What is so already needs no change.
  EXPECT_EQ(end_given_after(0, "repeated"), change_status::accepted);
  EXPECT_FALSE(machine.store().evacuated_zones().contains("z1"));
}

RC_GTEST_PROP(traffic_plan_test, watcher_converges_to_leader_state, ()) {
  config_state_machine machine;
  object_store watcher;
  int n = 0;
  for (int i = 0; i < 30; ++i) {
    const int what = *rc::gen::inRange(0, 4);
    const std::string id = std::to_string(n++);
    if (what == 0) {
      const std::string zone =
          *rc::gen::elementOf(std::vector<std::string>{"z1", "z2"});
      machine.apply(
          entry_of(evacuation_change(zone, *rc::gen::arbitrary<bool>(), id)));
    } else if (what < 3) {
      const plan_number number = *rc::gen::inRange<plan_number>(1, 40);
      machine.apply(entry_of(plan_change(make_plan(number), id)));
    } else {
      const json sent = to_json(machine.update_since(watcher.revision()));
      const result<watch_update> update = watch_update_from(sent);
      RC_ASSERT(update.has_value());
      const plan_number before = watcher.plan() ? watcher.plan()->number : 0;
      RC_ASSERT(apply_update(watcher, *update).has_value());
      if (watcher.plan()) RC_ASSERT(watcher.plan()->number >= before);
    }
  }
  RC_ASSERT(apply_update(watcher, machine.update_since(watcher.revision()))
                .has_value());
  RC_ASSERT(watcher.revision() == machine.store().revision());
  RC_ASSERT(watcher.evacuated_zones() == machine.store().evacuated_zones());
  RC_ASSERT(watcher.ended_evacuations() == machine.store().ended_evacuations());
  RC_ASSERT(!watcher.plan() == !machine.store().plan());
  if (watcher.plan()) {
    RC_ASSERT(watcher.plan()->number == machine.store().plan()->number);
  }
}

}  // namespace
}  // namespace trestlepost::config

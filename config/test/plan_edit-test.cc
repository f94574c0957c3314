// Tests plans that are stored in the log as edits of the previous plan.
#include "trestlepost/config/plan_edit.h"

#include <gtest/gtest.h>

#include "trestlepost/config/state_machine.h"

namespace trestlepost::config {
namespace {

traffic_plan plan_of(plan_number number, int routes) {
  traffic_plan out;
  out.number = number;
  out.services.push_back(
      {"plain", "/health", 50, std::chrono::milliseconds(0), 0, {}});
  out.document = "{\"version\":" + std::to_string(number) + ",\"routes\":[";
  for (int n = 0; n < routes; ++n) {
    route one;
    one.name = "r-" + std::to_string(n);
    one.host = "a.example";
    one.path_prefix = "/" + std::to_string(n) + "/";
    one.split = {{"plain", 1}};
    out.routes.push_back(one);
    out.document += "{\"name\":\"" + one.name + "\",\"host\":\"" + one.host +
                    "\",\"prefix\":\"" + one.path_prefix + "\"},";
  }
  out.document += "0]}";
  return out;
}

change edit_of(const traffic_plan* before, const traffic_plan& after) {
  change out;
  out.id = "edit-" + std::to_string(before == nullptr ? 0 : before->number) +
           "-" + std::to_string(after.number);
  out.edited_plan =
      std::make_shared<const plan_edit>(make_plan_edit(before, after));
  return out;
}

change_result apply(config_state_machine& to, const change& requested) {
  consensus::entry entry;
  entry.type = consensus::entry_type::command;
  entry.data = encode_change(requested);
  to.apply(entry);
  return *to.result_of(requested.id);
}

// A change id that had been used for another edit returned that edit's result
// as if its own had been applied.
TEST(plan_edit_test, edits_of_plans_without_documents_have_own_digests) {
  traffic_plan one = plan_of(1, 1);
  traffic_plan two = plan_of(1, 2);
  one.document.clear();
  two.document.clear();
  EXPECT_NE(change_digest(edit_of(nullptr, one)),
            change_digest(edit_of(nullptr, two)));
}

TEST(plan_edit_test, edits_produce_same_plan_as_whole_plans) {
  const traffic_plan first = plan_of(1, 5);
  const traffic_plan second = plan_of(3, 9);
  const traffic_plan third = plan_of(4, 2);
  config_state_machine machine;
  EXPECT_EQ(apply(machine, edit_of(nullptr, first)).status,
            change_status::accepted);
  EXPECT_EQ(apply(machine, edit_of(&first, second)).revision, 2U);
  EXPECT_EQ(machine.store().plan()->routes, second.routes);
  EXPECT_EQ(machine.store().plan()->document, second.document);
  apply(machine, edit_of(&second, third));
  EXPECT_EQ(machine.store().plan()->number, 4U);
  EXPECT_EQ(machine.store().plan()->routes, third.routes);
  EXPECT_EQ(machine.store().plan()->services, third.services);
  EXPECT_EQ(machine.store().plan()->document, third.document);
  object_store watcher;
  ASSERT_TRUE(apply_update(watcher, machine.update_since(0)));
  EXPECT_EQ(watcher.plan()->routes, third.routes);
}

TEST(plan_edit_test, edit_of_replaced_plan_is_conflict) {
  const traffic_plan first = plan_of(1, 5);
  const traffic_plan second = plan_of(3, 9);
  const traffic_plan competing = plan_of(4, 2);
  config_state_machine machine;
  apply(machine, edit_of(nullptr, first));
  apply(machine, edit_of(&first, second));
  const change_result late = apply(machine, edit_of(&first, competing));
  EXPECT_EQ(late.status, change_status::conflict);
  EXPECT_FALSE(late.remedy.empty());
  EXPECT_EQ(machine.store().plan()->number, 3U);
  EXPECT_EQ(machine.store().revision(), 2U);
}

TEST(plan_edit_test, edit_to_older_plan_changes_nothing) {
  const traffic_plan first = plan_of(4, 5);
  const traffic_plan older = plan_of(2, 9);
  config_state_machine machine;
  apply(machine, edit_of(nullptr, first));
  const change_result outcome = apply(machine, edit_of(nullptr, older));
  EXPECT_EQ(outcome.status, change_status::accepted);
  EXPECT_EQ(machine.store().plan()->number, 4U);
  EXPECT_EQ(machine.store().revision(), 1U);
}

TEST(plan_edit_test, edit_to_invalid_plan_is_rejected) {
  const traffic_plan first = plan_of(1, 5);
  traffic_plan invalid_plan = plan_of(2, 5);
  invalid_plan.routes[3].split = {{"none", 1}};
  config_state_machine machine;
  apply(machine, edit_of(nullptr, first));
  EXPECT_EQ(apply(machine, edit_of(&first, invalid_plan)).status,
            change_status::invalid);
  change corrupted = edit_of(&first, plan_of(2, 6));
  plan_edit other = *corrupted.edited_plan;
  other.document = "{=0,1000000;";
  corrupted.edited_plan = std::make_shared<const plan_edit>(other);
  corrupted.id = "spoilt";
  EXPECT_EQ(apply(machine, corrupted).status, change_status::invalid);
  EXPECT_EQ(machine.store().plan()->number, 1U);
}

// Guards against log entries, and event loop iterations of the leader, whose
// size and duration grow with the whole plan.
TEST(plan_edit_test, small_change_of_large_plan_is_small_entry) {
  constexpr std::size_t max_bytes = 2000;
  const traffic_plan before = plan_of(1, 6000);
  traffic_plan after = plan_of(2, 6000);
  EXPECT_LT(encode_change(edit_of(&before, after)).size(), max_bytes);
  after.routes[17].attempts = 3;
  EXPECT_LT(encode_change(edit_of(&before, after)).size(), max_bytes);
}

TEST(plan_edit_test, snapshot_contains_base_of_next_edit) {
  const traffic_plan first = plan_of(1, 50);
  const traffic_plan second = plan_of(2, 60);
  config_state_machine machine;
  apply(machine, edit_of(nullptr, first));
  config_state_machine restored;
  restored.load(machine.save());
  EXPECT_EQ(apply(restored, edit_of(&first, second)).status,
            change_status::accepted);
  EXPECT_EQ(restored.store().plan()->routes, second.routes);
  EXPECT_EQ(restored.store().plan()->document, second.document);
}

}  // namespace
}  // namespace trestlepost::config

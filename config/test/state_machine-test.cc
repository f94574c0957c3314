// Tests the decisions on configuration changes, the audit trail, snapshots and
// updates of watchers.
#include "trestlepost/config/state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace trestlepost::config {
namespace {

edit put(object_kind kind, const std::string& text,
         std::optional<revision_number> base = std::nullopt) {
  const json spec = *parse_json(text);
  return {kind, spec["name"].asString(), spec, base};
}

edit region_edit(const std::string& name,
                 std::optional<revision_number> base = std::nullopt,
                 const std::string& mark = "x") {
  return put(
      object_kind::region,
      R"({"name": ")" + name + R"(", "labels": {"mark": ")" + mark + R"("}})",
      base);
}

change change_of(std::string id, std::vector<edit> edits,
                 const std::string& by = "anna") {
  change out;
  out.id = std::move(id);
  out.operator_name = by;
  out.at = from_unix_ms(1'700'000'000'000);
  out.edits = std::move(edits);
  return out;
}

class state_machine_fixture {
 public:
  explicit state_machine_fixture(state_limits limits = {}) : machine(limits) {}

  change_result apply(const change& requested) {
    consensus::entry entry;
    entry.data = to_text(to_json(requested));
    machine.apply(entry);
    return machine.result_of(requested.id).value_or(change_result());
  }

  config_state_machine machine;
};

TEST(config_state_machine_test, second_change_of_same_base_is_conflict) {
  state_machine_fixture it;
  it.apply(change_of("c1", {region_edit("isola")}));
  const change_result first =
      it.apply(change_of("c2", {region_edit("isola", 1, "a")}, "anna"));
  const change_result second =
      it.apply(change_of("c3", {region_edit("isola", 1, "b")}, "bruno"));
  EXPECT_EQ(first.status, change_status::accepted);
  EXPECT_EQ(second.status, change_status::conflict);
  EXPECT_NE(second.message.find("anna"), std::string::npos);
  EXPECT_NE(second.remedy.find("trestlepost get"), std::string::npos);
  EXPECT_EQ(it.machine.store().revision(), 2U);
}

change hold_of(const std::string& id, const std::string& fingerprint,
               bool held) {
  change out = change_of(id, {});
  out.hold = request_hold{fingerprint, held, "s", "crashed: a b c"};
  return out;
}

TEST(config_state_machine_test, request_stays_held_until_released) {
  state_machine_fixture it;
  it.apply(hold_of("h1", "f", true));
  it.apply(hold_of("h2", "g", true));
  const change_result again = it.apply(hold_of("h3", "f", true));
  EXPECT_EQ(again.status, change_status::accepted);
  EXPECT_EQ(it.machine.store().revision(), 2U);
  config_state_machine restarted;
  restarted.load(it.machine.save());
  ASSERT_EQ(restarted.store().held_requests().size(), 2U);
  const held_request& kept = restarted.store().held_requests().at("f");
  EXPECT_EQ(kept.service, "s");
  EXPECT_EQ(kept.evidence, "crashed: a b c");
  EXPECT_EQ(to_unix_ms(kept.since), 1'700'000'000'000);
  EXPECT_EQ(kept.revision, 1U);
  it.apply(hold_of("h4", "f", false));
  EXPECT_FALSE(it.machine.store().held_requests().contains("f"));
  EXPECT_TRUE(it.machine.store().held_requests().contains("g"));
}

TEST(config_state_machine_test, watchers_receive_held_requests) {
  state_machine_fixture it;
  it.apply(change_of("c1", {region_edit("isola")}));
  object_store behind = it.machine.store();
  it.apply(hold_of("h1", "f", true));
  it.apply(hold_of("h2", "g", true));
  it.apply(hold_of("h3", "f", false));
  const result<watch_update> sent =
      watch_update_from(to_json(it.machine.update_since(behind.revision())));
  ASSERT_TRUE(sent);
  ASSERT_TRUE(apply_update(behind, *sent));
  EXPECT_FALSE(behind.held_requests().contains("f"));
  EXPECT_TRUE(behind.held_requests().contains("g"));
  object_store fresh;
  const result<watch_update> whole =
      watch_update_from(to_json(it.machine.update_since(0)));
  ASSERT_TRUE(whole);
  ASSERT_TRUE(apply_update(fresh, *whole));
  EXPECT_EQ(fresh.held_requests().size(), 1U);
}

TEST(config_state_machine_test, oldest_held_request_is_released_at_limit) {
  object_store store;
  for (std::size_t n = 0; n <= max_held_requests; ++n) {
    const request_hold one{std::to_string(n), true, "s", ""};
    store.set_hold(one, wall_time(), n + 1);
  }
  EXPECT_EQ(store.held_requests().size(), max_held_requests);
  EXPECT_FALSE(store.held_requests().contains("0"));
  EXPECT_TRUE(store.held_requests().contains("1"));
}

// A release that was delayed let a request through that had been held again
// meanwhile, for other crashes.
TEST(config_state_machine_test, release_of_an_earlier_hold_is_rejected) {
  state_machine_fixture it;
  it.apply(hold_of("hold", "f", true));
  it.apply(hold_of("release", "f", false));
  it.apply(hold_of("hold again", "f", true));
  change late = hold_of("late", "f", false);
  late.hold->base = 1;
  EXPECT_EQ(it.apply(late).status, change_status::conflict);
  EXPECT_TRUE(it.machine.store().held_requests().contains("f"));
  change newer = hold_of("newer", "f", false);
  newer.hold->base = 3;
  EXPECT_EQ(it.apply(newer).status, change_status::accepted);
  EXPECT_FALSE(it.machine.store().held_requests().contains("f"));
}

// A change of a plan, an evacuation, a hold or a founding was accepted although
// the configuration had moved on from the revision that it required.
TEST(config_state_machine_test, every_change_requires_its_revision) {
  change plan = change_of("plan", {});
  plan.plan = std::make_shared<const traffic_plan>(traffic_plan{.number = 1});
  change evacuation = change_of("evacuation", {});
  evacuation.evacuation = zone_evacuation{"isola-a", true};
  change founding = change_of("founding", {});
  founding.founding = ledger_founding{"isola", "group", {}};
  for (change it : {plan, evacuation, founding, hold_of("hold", "f", true)}) {
    state_machine_fixture machine;
    machine.apply(change_of("first", {region_edit("isola")}));
    it.if_revision = 0;
    EXPECT_EQ(machine.apply(it).status, change_status::conflict) << it.id;
    EXPECT_EQ(machine.machine.store().revision(), 1U);
    it.id += "-again";
    it.if_revision = 1;
    EXPECT_EQ(machine.apply(it).status, change_status::accepted) << it.id;
  }
}

TEST(config_state_machine_test, resent_change_returns_first_result) {
  state_machine_fixture it;
  it.apply(change_of("c1", {region_edit("isola")}));
  const change requested = change_of("c2", {region_edit("isola", 1, "a")});
  const change_result first = it.apply(requested);
  it.apply(change_of("c3", {region_edit("isola", 2, "b")}));
  const change_result again = it.apply(requested);
  EXPECT_EQ(again.status, change_status::accepted);
  EXPECT_EQ(again.revision, first.revision);
  EXPECT_EQ(it.machine.store().revision(), 3U);
  config_state_machine restored;
  restored.load(it.machine.save());
  EXPECT_EQ(restored.result_of("c2")->revision, first.revision);
}

TEST(config_state_machine_test, forgotten_change_id_applies_change_twice) {
  state_limits faulty;
  faulty.forget_change_ids = true;
  state_machine_fixture it(faulty);
  const change requested = change_of("c1", {region_edit("isola")});
  it.apply(requested);
  it.apply(requested);
  EXPECT_EQ(it.machine.store().revision(), 2U) << "applied twice";
}

TEST(config_state_machine_test, reused_change_id_is_rejected) {
  state_machine_fixture it;
  it.apply(change_of("c1", {region_edit("isola")}));
  it.apply(change_of("c1", {region_edit("golfo")}));
  EXPECT_EQ(it.machine.store().revision(), 1U);
  EXPECT_EQ(it.machine.audit().back().outcome.status, change_status::mismatch);
}

struct invalid_case {
  const char* what;
  edit one;
};

TEST(config_state_machine_test, invalid_change_is_not_applied_in_part) {
  const invalid_case cases[] = {
      {"dangling service", put(object_kind::endpoint,
                               R"({"name":"e","service":"none","region":"isola",
               "availability_zone":"z","address":"127.0.0.1:1"})")},
      {"no region permitted",
       put(object_kind::placement_rule,
           R"({"name":"r","permit":{"region":"nowhere"}})")},
      {"unknown key", put(object_kind::region, R"({"name":"x","lables":{}})")},
      {"bad address", put(object_kind::endpoint,
                          R"({"name":"e","service":"s","region":"isola",
               "availability_zone":"z","address":"here"})")},
      {"removed in use", {object_kind::region, "isola", json(), std::nullopt}},
      {"removed twice", {object_kind::caller, "nobody", json(), std::nullopt}},
  };
  for (const invalid_case& it : cases) {
    state_machine_fixture d;
    d.apply(change_of(
        "c0",
        {region_edit("isola"), put(object_kind::service, R"({"name":"s"})"),
         put(object_kind::endpoint,
             R"({"name":"used","service":"s","region":"isola",
                      "availability_zone":"z","address":"127.0.0.1:2"})")}));
    const std::string before = to_text(d.machine.store().to_json());
    const change_result outcome =
        d.apply(change_of("c1", {region_edit("golfo"), it.one}));
    EXPECT_EQ(outcome.status, change_status::invalid) << it.what;
    EXPECT_FALSE(outcome.remedy.empty()) << it.what;
    EXPECT_EQ(to_text(d.machine.store().to_json()), before) << it.what;
    EXPECT_EQ(d.machine.audit().back().change_id, "c1") << it.what;
  }
}

TEST(config_state_machine_test, selector_without_match_is_a_warning) {
  state_machine_fixture it;
  const change_result outcome = it.apply(
      change_of("c1", {region_edit("isola"),
                       put(object_kind::placement_rule,
                           R"({"name":"r","callers":{"team":"none"}})")}));
  EXPECT_EQ(outcome.status, change_status::accepted);
  EXPECT_FALSE(outcome.warnings.empty());
}

RC_GTEST_PROP(config_watch_test,
              watcher_revision_never_decreases_and_catches_up,
              (std::vector<std::uint8_t> polls)) {
  state_limits limits;
  limits.history = 3;
  state_machine_fixture it(limits);
  object_store watcher;
  std::vector<watch_update> late;
  int n = 0;
  for (const std::uint8_t poll : polls) {
    const std::string name = "r" + std::to_string(poll % 3);
    it.apply(change_of("c" + std::to_string(n), {region_edit(name)}));
    ++n;
    if (poll % 2 == 0)
      late.push_back(it.machine.update_since(watcher.revision()));
    if (poll % 5 == 0 && !late.empty()) {
      // Updates may arrive out of order and more than once.
      const watch_update update = late[poll % late.size()];
      const revision_number before = watcher.revision();
      apply_update(watcher, *watch_update_from(to_json(update)));
      RC_ASSERT(watcher.revision() >= before);
    }
  }
  apply_update(watcher, it.machine.update_since(watcher.revision()));
  RC_ASSERT(to_text(watcher.to_json()) ==
            to_text(it.machine.store().to_json()));
}

// An empty store would be given to gateways as the configuration.
TEST(config_state_machine_test, an_unreadable_snapshot_keeps_the_state) {
  state_machine_fixture it;
  it.apply(change_of("c1", {region_edit("isola")}));
  const std::string saved = it.machine.save();
  for (const std::string& damaged :
       {saved.substr(0, saved.size() / 2), std::string("text")}) {
    const result<void> loaded = it.machine.load(damaged);
    ASSERT_FALSE(loaded);
    EXPECT_EQ(loaded.error().kind, error_kind::corrupt);
    EXPECT_FALSE(loaded.error().remedy.empty());
    EXPECT_EQ(it.machine.save(), saved);
  }
}

TEST(config_state_machine_test, snapshot_restores_complete_state) {
  state_machine_fixture it;
  for (int i = 0; i < 20; ++i) {
    it.apply(change_of("c" + std::to_string(i), {region_edit("isola")}));
  }
  config_state_machine restored;
  restored.load(it.machine.save());
  EXPECT_EQ(restored.save(), it.machine.save());
}

}  // namespace
}  // namespace trestlepost::config

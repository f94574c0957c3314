// Placement by rules, label checks, transit and earlier home regions.
#include "trestlepost/routing/placement.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

#include "trestlepost/base/random.h"

namespace trestlepost::routing {
namespace {

using config::edit;
using config::object_kind;
using config::object_store;

void put(object_store& store, object_kind kind, const std::string& text,
         std::optional<wall_time> at = std::nullopt) {
  problem_list problems;
  const json spec = *parse_json(text);
  const edit one{kind, spec["name"].asString(), spec, std::nullopt};
  if (at) store.record_replaced(one, *at);
  store.put(one, store.revision() + 1, problems);
  ASSERT_TRUE(problems.empty()) << problems.to_text("test");
}

object_store make_store() {
  object_store store;
  put(store, object_kind::region,
      R"({"name":"isola","labels":{"law":"it","side":"south"}})");
  put(store, object_kind::region,
      R"({"name":"stretto","labels":{"law":"it","side":"strait"}})");
  put(store, object_kind::region,
      R"({"name":"golfo","labels":{"law":"eu","side":"north"}})");
  put(store, object_kind::service, R"({"name":"guida","kind":"model"})");
  put(store, object_kind::caller,
      R"({"name":"yard","labels":{"team":"planner"},"token_sha256":
          "0000000000000000000000000000000000000000000000000000000000000001",
          "request_labels":{"cargo":["hazard","grain"],"wide":["yes"]}})");
  put(store, object_kind::placement_rule,
      R"({"name":"planners","callers":{"team":"planner"},
          "permit":{"law":"it"},"home":{"region":"isola"},
          "away_penalty":"200 ms"})");
  put(store, object_kind::placement_rule,
      R"({"name":"hazard","requests":{"cargo":"hazard"},
          "permit":{"side":["south","north"]},"transit":"refuse"})");
  return store;
}

struct placement_case {
  const char* what;
  config::label_map labels;
  std::vector<std::string> permitted;
  error_kind refused;
};

TEST(placement_test, permits_what_every_matching_rule_permits) {
  const object_store store = make_store();
  const placement_case cases[] = {
      {"plain", {}, {"isola", "stretto"}, error_kind::internal},
      {"narrowed", {{"cargo", "hazard"}}, {"isola"}, error_kind::internal},
      {"harmless",
       {{"cargo", "grain"}},
       {"isola", "stretto"},
       error_kind::internal},
      {"value", {{"cargo", "gold"}}, {}, error_kind::label_not_allowed},
      {"key", {{"team", "admin"}}, {}, error_kind::label_not_allowed},
  };
  for (const placement_case& it : cases) {
    const result<placement> placed =
        compute_placement(inputs_of(store), *store.find_caller("yard"),
                          *store.find_service("guida"), it.labels);
    if (it.permitted.empty()) {
      ASSERT_FALSE(placed) << it.what;
      EXPECT_EQ(placed.error().kind, it.refused) << it.what;
      continue;
    }
    ASSERT_TRUE(placed) << it.what << placed.error().message;
    EXPECT_EQ(placed->permitted, it.permitted) << it.what;
    EXPECT_EQ(placed->home, "isola") << it.what;
  }
}

TEST(placement_test, without_a_matching_rule_the_request_is_not_run) {
  object_store store = make_store();
  put(store, object_kind::caller,
      R"({"name":"stranger","token_sha256":
          "0000000000000000000000000000000000000000000000000000000000000002"})");
  const result<placement> placed =
      compute_placement(inputs_of(store), *store.find_caller("stranger"),
                        *store.find_service("guida"), {});
  ASSERT_FALSE(placed);
  EXPECT_EQ(placed.error().kind, error_kind::no_matching_rule);
  EXPECT_NE(placed.error().remedy.find("placement_rule"), std::string::npos);
}

TEST(placement_test, a_label_that_permits_another_region_is_refused) {
  object_store store = make_store();
  put(store, object_kind::placement_rule,
      R"({"name":"planners","callers":{"team":"planner"},
          "requests":{"wide":{"exists":false}},"permit":{"law":"it"}})");
  put(store, object_kind::placement_rule,
      R"({"name":"wide","requests":{"wide":"yes"},"permit":{}})");
  const result<placement> placed =
      compute_placement(inputs_of(store), *store.find_caller("yard"),
                        *store.find_service("guida"), {{"wide", "yes"}});
  ASSERT_FALSE(placed);
  EXPECT_EQ(placed.error().kind, error_kind::label_not_allowed);
}

TEST(placement_test, a_rule_may_refuse_transit) {
  const object_store store = make_store();
  const config::caller& yard = *store.find_caller("yard");
  const config::label_map hazard{{"cargo", "hazard"}};
  EXPECT_TRUE(
      transit_may_be_refused(inputs_of(store), yard, hazard, "stretto"));
  EXPECT_FALSE(transit_may_be_refused(inputs_of(store), yard, hazard, "isola"));
  EXPECT_FALSE(transit_may_be_refused(inputs_of(store), yard, {}, "stretto"));
}

TEST(previous_homes_test, a_previous_home_is_returned_within_the_key_window) {
  object_store store = make_store();
  const wall_time moved = from_unix_ms(1'700'000'000'000);
  put(store, object_kind::placement_rule,
      R"({"name":"planners","callers":{"team":"planner"},
          "permit":{"law":"it"},"home":{"region":"stretto"}})",
      moved);
  const config::caller& yard = *store.find_caller("yard");
  const config::service& guida = *store.find_service("guida");
  const auto at = [&](std::chrono::hours later) {
    return previous_homes(store, yard, guida, {}, "stretto", moved + later);
  };
  EXPECT_EQ(at(std::chrono::hours(1)), std::vector<std::string>{"isola"});
  EXPECT_TRUE(at(std::chrono::hours(25)).empty());
}

/// Returns a random configuration with three regions and up to three rules.
object_store arbitrary_store(seeded_random& random) {
  object_store store;
  const char* laws[] = {"it", "eu", "ie"};
  for (const char* name : {"r1", "r2", "r3"}) {
    put(store, object_kind::region,
        R"({"name":")" + std::string(name) + R"(","labels":{"law":")" +
            laws[random.below(3)] + R"("}})");
  }
  put(store, object_kind::service, R"({"name":"s"})");
  put(store, object_kind::caller,
      R"({"name":"c","token_sha256":
          "0000000000000000000000000000000000000000000000000000000000000001",
          "request_labels":{"k":["a","b"]}})");
  const std::uint64_t rules = random.below(4);
  for (std::uint64_t i = 0; i < rules; ++i) {
    std::string requests = "{}";
    if (random.below(2) == 0) requests = R"({"k":"a"})";
    if (random.below(4) == 0) requests = R"({"k":{"not_in":["b"]}})";
    put(store, object_kind::placement_rule,
        R"({"name":"rule)" + std::to_string(i) + R"(","requests":)" + requests +
            R"(,"permit":{"law":[")" + laws[random.below(3)] + R"(",")" +
            laws[random.below(3)] + R"("]}})");
  }
  return store;
}

RC_GTEST_PROP(placement_property, a_permitted_region_satisfies_every_rule,
              (std::uint64_t seed)) {
  seeded_random random(seed);
  const object_store store = arbitrary_store(random);
  config::label_map labels;
  if (random.below(2) == 0) labels["k"] = random.below(2) == 0 ? "a" : "b";
  const config::caller& caller = *store.find_caller("c");
  const config::service& service = *store.find_service("s");
  const result<placement> placed =
      compute_placement(inputs_of(store), caller, service, labels);
  if (!placed) return;
  RC_ASSERT(placed->permits(placed->home));
  const result<placement> bare =
      compute_placement(inputs_of(store), caller, service, {});
  for (const std::string& region : placed->permitted) {
    bool any = false;
    for (const auto& [name, rule] : store.rules()) {
      if (!config::matches(rule->requests, labels)) continue;
      any = true;
      RC_ASSERT(
          config::matches(rule->permit, store.regions().at(region)->labels));
    }
    RC_ASSERT(any);
    // A label must never permit an additional region.
    RC_ASSERT(labels.empty() || (bare && bare->permits(region)));
  }
}

}  // namespace
}  // namespace trestlepost::routing

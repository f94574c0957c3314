// Tests that no request runs for the wrong organisation, whatever plans the
// entry and the serving gateway have.
#include "trestlepost/gateway/caller_authentication.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

#include "trestlepost/gateway/routed_request.h"

namespace trestlepost::gateway {
namespace {

using config::organisation;
using config::organisation_ptr;
using config::traffic_plan;
using surface::call_head;
using surface::credential_state;

organisation_ptr organisation_of(const std::string& name,
                                 const std::vector<std::string>& keys) {
  organisation out;
  out.name = name;
  for (const std::string& it : keys) {
    out.key_digests.push_back(config::key_digest(it));
  }
  return std::make_shared<const organisation>(std::move(out));
}

traffic_plan plan_of(config::organisation_list all) {
  traffic_plan out;
  out.requires_key = true;
  out.organisations = std::move(all);
  return out;
}

call_head head_with(const std::string& key) {
  call_head out;
  out.credential = credential_state::present;
  out.key_digest = config::key_digest(key);
  out.passthrough_headers = {{"Authorization", "Bearer " + key},
                             {"X-Own", "kept"}};
  return out;
}

TEST(caller_authentication_test, a_key_names_its_organisation) {
  caller_authentication it;
  it.update(
      plan_of({organisation_of("a", {"k"}), organisation_of("b", {"l"})}));
  call_head head = head_with("l");
  const result<organisation_ptr> found = it.identify(head, {}, true);
  ASSERT_TRUE(found);
  it.record(head, *found);
  EXPECT_EQ(head.organisation, "b");
  EXPECT_EQ(head.passthrough_header("Authorization"), "");
  EXPECT_EQ(head.passthrough_header("X-Own"), "kept");
}

TEST(caller_authentication_test, an_unknown_key_is_final_only_if_confirmed) {
  caller_authentication it;
  it.update(plan_of({organisation_of("a", {"k"})}));
  EXPECT_EQ(it.identify(head_with("x"), {}, true).error().kind,
            error_kind::unauthorized);
  EXPECT_EQ(it.identify(head_with("x"), {}, false).error().kind,
            error_kind::configuration_behind);
  EXPECT_TRUE(it.identify(head_with("k"), {}, false));
}

TEST(caller_authentication_test, unusable_credentials_are_rejected) {
  caller_authentication it;
  it.update(plan_of({organisation_of("a", {"k"})}));
  for (const credential_state state :
       {credential_state::missing, credential_state::malformed}) {
    call_head head = head_with("k");
    head.credential = state;
    EXPECT_EQ(it.identify(head, {}, true).error().kind,
              error_kind::unauthorized);
  }
}

TEST(caller_authentication_test, an_open_route_and_an_open_plan_need_no_key) {
  caller_authentication it;
  it.update(plan_of({organisation_of("a", {"k"})}));
  config::route open;
  open.open_to_all = true;
  EXPECT_EQ(it.identify({}, open, true).value(), nullptr);
  EXPECT_EQ(it.identify(head_with("k"), open, true).value()->name, "a");
  call_head forwarded;
  EXPECT_TRUE(it.confirm(forwarded, open));
  EXPECT_FALSE(it.confirm(forwarded, {}));

  it.update(traffic_plan());
  call_head head = head_with("x");
  EXPECT_EQ(it.identify(head, {}, true).value(), nullptr);
  it.record(head, nullptr);
  EXPECT_EQ(head.passthrough_header("Authorization"), "Bearer x");
}

TEST(caller_authentication_test, homes_of_route_and_organisation_both_bind) {
  config::route route;
  route.home_regions = {"north", "south"};
  organisation owner;
  owner.home_regions = {"south", "west"};
  routed_request request;
  request.route = &route;
  request.organisation = std::make_shared<const organisation>(owner);
  EXPECT_TRUE(request.permits("south"));
  EXPECT_FALSE(request.permits("north"));
  EXPECT_FALSE(request.permits("west"));
  EXPECT_FALSE(has_no_home(request));
  route.home_regions = {"north"};
  EXPECT_TRUE(has_no_home(request));
}

// If an organisation's priority replaced that of the route, its short urgent
// requests would wait behind its long prompts.
TEST(caller_authentication_test, an_organisation_priority_precedes_the_route) {
  config::route urgent;
  config::route long_prompts;
  long_prompts.priority = 1;
  organisation high;
  high.priority = 0;
  organisation low;
  low.priority = 1;
  EXPECT_EQ(priority_of(long_prompts, nullptr), 1);
  EXPECT_LT(priority_of(urgent, &high), priority_of(long_prompts, &high));
  EXPECT_LT(priority_of(long_prompts, &high), priority_of(urgent, &low));
  EXPECT_LT(priority_of(urgent, &low), priority_of(long_prompts, &low));
  const organisation unset;
  EXPECT_LT(priority_of(urgent, &unset), priority_of(long_prompts, &unset));
}

// Keys move between organisations, disappear and return, over a sequence of
// plans. Two gateways apply them at different times. A request that both accept
// belongs to the owner of its key in both plans.
RC_GTEST_PROP(caller_authentication_test, no_request_runs_for_another_owner,
              ()) {
  constexpr int plans = 8;
  const std::vector<std::string> keys{"k0", "k1", "k2", "k3"};
  std::vector<traffic_plan> history;
  for (int n = 0; n < plans; ++n) {
    std::vector<std::vector<std::string>> owned(3);
    for (const std::string& key : keys) {
      const int owner = *rc::gen::inRange(0, 4);
      if (owner < 3) owned[owner].push_back(key);
    }
    history.push_back(
        plan_of({organisation_of("a", owned[0]), organisation_of("b", owned[1]),
                 organisation_of("c", owned[2])}));
  }
  caller_authentication entry;
  caller_authentication server;
  int at_entry = 0;
  int at_server = 0;
  entry.update(history[0]);
  server.update(history[0]);
  for (int step = 0; step < 30; ++step) {
    int& at = *rc::gen::arbitrary<bool>() ? at_entry : at_server;
    at = std::min(plans - 1, at + *rc::gen::inRange(0, 3));
    entry.update(history[at_entry]);
    server.update(history[at_server]);
    const std::string key = *rc::gen::elementOf(keys);
    call_head head = head_with(key);
    const result<organisation_ptr> found = entry.identify(head, {}, true);
    if (!found) continue;
    entry.record(head, *found);
    const result<organisation_ptr> confirmed = server.confirm(head, {});
    if (!confirmed) continue;
    const std::string digest = config::key_digest(key);
    for (const int plan : {at_entry, at_server}) {
      routing::organisation_table expected;
      expected.update(history[plan].organisations);
      RC_ASSERT(expected.find_by_key(digest)->name == head.organisation);
    }
  }
}

}  // namespace
}  // namespace trestlepost::gateway

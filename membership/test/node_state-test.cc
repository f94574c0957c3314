// Tests of the state of a node.
#include "trestlepost/membership/node_state.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};
constexpr milliseconds lease{5000};

node_state make_state(monotonic_time now) {
  const result<charts::chart> chart = charts::chart::load(
      std::string(TRESTLEPOST_CHARTS) + "/node.jsonc", node_chart_interface());
  return {chart.value(), {}, now};
}

node_state ready_state() {
  node_state out = make_state(start);
  out.confirm(start, start);
  EXPECT_TRUE(out.is(node_states::ready));
  return out;
}

// Guards against a node that serves by a configuration of which it knows that
// it was replaced.
TEST(node_state_test, outdated_node_serves_nobody_and_crosses_no_region) {
  node_state it = ready_state();
  it.set_outdated(true);
  EXPECT_TRUE(it.is(node_states::outdated));
  EXPECT_FALSE(it.serves_callers());
  EXPECT_FALSE(it.crosses_regions());
  it.tick(start + 2 * lease, true);
  EXPECT_TRUE(it.is(node_states::outdated));
}

TEST(node_state_test, node_that_has_caught_up_is_ready_if_confirmed) {
  node_state it = ready_state();
  it.set_outdated(true);
  it.tick(start + lease / 2, true);
  it.set_outdated(false);
  EXPECT_TRUE(it.is(node_states::ready));
}

// A copy that another node gave is not confirmed by a leader.
TEST(node_state_test, node_that_has_caught_up_unconfirmed_is_isolated) {
  node_state it = ready_state();
  it.set_outdated(true);
  it.tick(start + 2 * lease, true);
  it.set_outdated(false);
  EXPECT_TRUE(it.is(node_states::isolated));
  it.confirm(start + 2 * lease, start + 2 * lease);
  EXPECT_TRUE(it.is(node_states::ready));
}

TEST(node_state_test, stop_order_holds_for_an_outdated_node) {
  node_state it = ready_state();
  it.set_outdated(true);
  it.order_stop();
  it.set_outdated(false);
  EXPECT_TRUE(it.is(node_states::draining));
}

TEST(node_state_test, starting_node_is_not_outdated) {
  node_state it = make_state(start);
  it.set_outdated(true);
  EXPECT_TRUE(it.is(node_states::starting));
}

TEST(node_state_test, a_node_without_confirmation_becomes_isolated) {
  monotonic_time now;
  node_state it = make_state(now);
  EXPECT_FALSE(it.serves_callers());
  it.confirm(now, now);
  EXPECT_TRUE(it.crosses_regions());
  now += milliseconds(5001);
  it.tick(now, true);
  EXPECT_TRUE(it.is(node_states::isolated));
  EXPECT_TRUE(it.serves_callers());
  EXPECT_FALSE(it.crosses_regions());
}

TEST(node_state_test, a_confirmation_is_valid_from_its_request_time) {
  monotonic_time now;
  node_state it = make_state(now);
  const monotonic_time request_time = now;
  now += milliseconds(6000);  // suspended before the reply was read
  it.confirm(request_time, now);
  EXPECT_FALSE(it.crosses_regions());
}

TEST(node_state_test, a_node_without_configuration_keeps_waiting) {
  monotonic_time now;
  node_state it = make_state(now);
  it.tick(now += milliseconds(9000), false);
  EXPECT_FALSE(it.serves_callers());
  it.tick(now, true);
  EXPECT_TRUE(it.is(node_states::isolated));
}

TEST(node_state_test, a_node_catches_up_until_confirmed_or_timed_out) {
  node_state it = make_state(start);
  EXPECT_TRUE(it.is_catching_up(start + milliseconds(1900)));
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(2000)));
  it.confirm(start, start + milliseconds(100));
  EXPECT_TRUE(it.is_catching_up(start + milliseconds(200)));
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(600)));
  // A later partition does not make the node catch up again.
  it.tick(start + milliseconds(9000), true);
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(9000)));
}

TEST(node_state_test, a_suspended_node_is_behind_until_confirmed) {
  node_state it = make_state(start);
  it.confirm(start, start);
  it.tick(start + milliseconds(3000), true);
  EXPECT_FALSE(it.is_behind(start + milliseconds(3999)));
  // A confirmation requested before the suspension does not count, however late
  // it is read.
  const monotonic_time resumed = start + milliseconds(4500);
  EXPECT_TRUE(it.is_behind(resumed));
  it.tick(resumed, true);
  it.confirm(start + milliseconds(3000), resumed);
  EXPECT_TRUE(it.is_behind(resumed));
  EXPECT_TRUE(it.is_catching_up(resumed));
  it.confirm(resumed, resumed + milliseconds(100));
  EXPECT_FALSE(it.is_behind(resumed + milliseconds(100)));
}

// Pending requests have already waited a second in the node's sockets, so the
// node must not wait long for a leader.
TEST(node_state_test, a_suspended_node_continues_without_a_leader) {
  node_state it = make_state(start);
  it.tick(start, true);
  const monotonic_time resumed = start + milliseconds(1500);
  it.tick(resumed, true);
  EXPECT_TRUE(it.is_behind(resumed + milliseconds(200)));
  EXPECT_FALSE(it.is_behind(resumed + milliseconds(300)));
}

}  // namespace
}  // namespace trestlepost::membership

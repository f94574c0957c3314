// Tests of a node's state when other nodes have a newer configuration.
#include "trestlepost/membership/node_state.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};
constexpr milliseconds lease{5000};

node_state make_state() {
  result<charts::chart> chart = charts::chart::load(
      std::string(TRESTLEPOST_CHARTS) + "/node.jsonc", node_chart_interface());
  EXPECT_TRUE(chart);
  return {*chart, {}, start};
}

node_state ready_state() {
  node_state out = make_state();
  out.confirm(start, start);
  EXPECT_TRUE(out.is(node_states::ready));
  return out;
}

// Guards against a node that serves by a configuration of which it knows that
// it was replaced.
TEST(node_state_test, outdated_node_serves_nobody_and_crosses_no_region) {
  node_state it = ready_state();
  it.set_outdated(true, start);
  EXPECT_TRUE(it.is(node_states::outdated));
  EXPECT_FALSE(it.serves_callers());
  EXPECT_FALSE(it.crosses_regions());
  it.tick(start + 2 * lease, true);
  EXPECT_TRUE(it.is(node_states::outdated));
}

TEST(node_state_test, node_that_has_caught_up_is_ready_if_confirmed) {
  node_state it = ready_state();
  it.set_outdated(true, start);
  it.set_outdated(false, start + lease / 2);
  EXPECT_TRUE(it.is(node_states::ready));
}

// A copy that another node gave is not confirmed by a leader.
TEST(node_state_test, node_that_has_caught_up_unconfirmed_is_isolated) {
  node_state it = ready_state();
  it.set_outdated(true, start);
  it.set_outdated(false, start + 2 * lease);
  EXPECT_TRUE(it.is(node_states::isolated));
  it.confirm(start + 2 * lease, start + 2 * lease);
  EXPECT_TRUE(it.is(node_states::ready));
}

TEST(node_state_test, stop_order_holds_for_an_outdated_node) {
  node_state it = ready_state();
  it.set_outdated(true, start);
  it.order_stop();
  it.set_outdated(false, start);
  EXPECT_TRUE(it.is(node_states::draining));
}

TEST(node_state_test, starting_node_is_not_outdated) {
  node_state it = make_state();
  it.set_outdated(true, start);
  EXPECT_TRUE(it.is(node_states::starting));
}

}  // namespace
}  // namespace trestlepost::membership

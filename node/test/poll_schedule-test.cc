#include "poll_schedule.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using addresses = std::vector<std::string>;

const addresses all{"a:1", "b:1", "c:1"};
constexpr poll_state starting{false, false};
constexpr poll_state unconfirmed{true, false};
constexpr poll_state without_plan{false, true};
constexpr poll_state confirmed{true, true};

TEST(poll_schedule_test, a_node_without_configuration_polls_all) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(poll_targets(starting, "", all, finder), all);
  EXPECT_EQ(poll_targets(starting, "b:1", all, finder), all);
}

TEST(poll_schedule_test, a_node_with_configuration_polls_the_leader) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(poll_targets(confirmed, "b:1", all, finder), addresses({"b:1"}));
}

// Guards against an overloaded leader on the first start of 300 nodes. Each
// node polled all five control nodes every 150 ms although the leader had just
// confirmed that no plan exists. These 10,000 polls per second, most of them
// forwarded to the leader, made its lease lapse again and again, and the first
// plan was never acknowledged.
TEST(poll_schedule_test, a_node_knowing_that_no_plan_exists_polls_the_leader) {
  const milliseconds default_interval{500};
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(poll_targets(without_plan, "b:1", all, finder), addresses({"b:1"}));
  EXPECT_EQ(poll_targets(without_plan, "", all, finder), addresses({"a:1"}));
  EXPECT_EQ(time_to_next_poll(without_plan, default_interval),
            default_interval);
}

TEST(poll_schedule_test, without_a_leader_control_nodes_are_polled_in_turn) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(poll_targets(unconfirmed, "", all, finder), addresses({"a:1"}));
  EXPECT_EQ(poll_targets(unconfirmed, "", all, finder), addresses({"b:1"}));
}

TEST(poll_schedule_test, unconfirmed_nodes_poll_often) {
  const milliseconds default_interval{500};
  EXPECT_LT(time_to_next_poll(starting, default_interval),
            default_interval / 2);
  EXPECT_LT(time_to_next_poll(unconfirmed, default_interval),
            default_interval / 2);
  EXPECT_EQ(time_to_next_poll(confirmed, default_interval), default_interval);
}

TEST(poll_schedule_test, a_short_default_interval_is_not_extended) {
  const milliseconds default_interval{50};
  EXPECT_EQ(time_to_next_poll(starting, default_interval), default_interval);
}

}  // namespace
}  // namespace trestlepost::node

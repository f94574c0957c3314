#include "poll_schedule.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using addresses = std::vector<std::string>;

const addresses all{"a:1", "b:1", "c:1"};
constexpr poll_situation starting{false, false};
constexpr poll_situation unconfirmed{true, false};
constexpr poll_situation told_of_none{false, true};
constexpr poll_situation well{true, true};

TEST(poll_schedule_test, a_node_without_configuration_asks_all_at_once) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(whom_to_ask(starting, "", all, finder), all);
  EXPECT_EQ(whom_to_ask(starting, "b:1", all, finder), all);
}

TEST(poll_schedule_test, a_node_with_configuration_asks_the_leader) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(whom_to_ask(well, "b:1", all, finder), addresses({"b:1"}));
}

// Guards against an overloaded leader on the first start of 300 nodes. Each
// node polled all five control nodes every 150 ms although the leader had just
// confirmed that no plan exists. These 10,000 polls per second, most of them
// forwarded to the leader, made its lease lapse again and again, and the first
// plan was never acknowledged.
TEST(poll_schedule_test,
     a_node_that_was_told_there_is_no_plan_asks_the_leader) {
  const milliseconds usual{500};
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(whom_to_ask(told_of_none, "b:1", all, finder), addresses({"b:1"}));
  EXPECT_EQ(whom_to_ask(told_of_none, "", all, finder), addresses({"a:1"}));
  EXPECT_EQ(time_to_next_poll(told_of_none, usual), usual);
}

TEST(poll_schedule_test, without_a_leader_it_asks_one_after_the_other) {
  leader_finder finder(milliseconds(1000));
  EXPECT_EQ(whom_to_ask(unconfirmed, "", all, finder), addresses({"a:1"}));
  EXPECT_EQ(whom_to_ask(unconfirmed, "", all, finder), addresses({"b:1"}));
}

TEST(poll_schedule_test, it_asks_often_until_it_is_confirmed) {
  const milliseconds usual{500};
  EXPECT_LT(time_to_next_poll(starting, usual), usual / 2);
  EXPECT_LT(time_to_next_poll(unconfirmed, usual), usual / 2);
  EXPECT_EQ(time_to_next_poll(well, usual), usual);
}

TEST(poll_schedule_test, a_short_usual_interval_is_never_made_longer) {
  const milliseconds usual{50};
  EXPECT_EQ(time_to_next_poll(starting, usual), usual);
}

}  // namespace
}  // namespace trestlepost::node

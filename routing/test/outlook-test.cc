// Value of a request by its estimated course, spill shares and slot waits.
#include "trestlepost/routing/outlook.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

constexpr expectation wanted{milliseconds(1000), milliseconds(12'000)};

TEST(outlook_test, early_and_whole_is_worth_all) {
  EXPECT_DOUBLE_EQ(
      expected_value({milliseconds(0), milliseconds(500), milliseconds(5000)},
                     wanted),
      1);
}

TEST(outlook_test, late_is_worth_something_and_cut_nothing) {
  const double late = expected_value(
      {milliseconds(0), milliseconds(2000), milliseconds(5000)}, wanted);
  EXPECT_NEAR(late, 0.3, 1e-9);
  EXPECT_DOUBLE_EQ(
      expected_value({milliseconds(0), milliseconds(500), milliseconds(20'000)},
                     wanted),
      0);
}

RC_GTEST_PROP(outlook_test, later_is_never_worth_more, ()) {
  const milliseconds first(*rc::gen::inRange(0, 5000));
  const milliseconds finish(*rc::gen::inRange(0, 30'000));
  const milliseconds more(*rc::gen::inRange(0, 5000));
  const double now = expected_value({milliseconds(0), first, finish}, wanted);
  RC_ASSERT(expected_value({milliseconds(0), first + more, finish}, wanted) <=
            now);
  RC_ASSERT(expected_value({milliseconds(0), first, finish + more}, wanted) <=
            now);
  RC_ASSERT(now >= 0 && now <= 1);
}

TEST(outlook_test, an_answer_that_is_sooner_whole_is_worth_more) {
  const outlook slow{milliseconds(0), milliseconds(500), milliseconds(6000)};
  const outlook fast{milliseconds(0), milliseconds(500), milliseconds(2000)};
  EXPECT_DOUBLE_EQ(expected_value(slow, wanted), expected_value(fast, wanted));
  EXPECT_NEAR(net_value(fast, wanted) - net_value(slow, wanted), 0.16, 1e-9);
}

TEST(outlook_test, what_puts_off_other_answers_is_worth_less) {
  outlook alone{milliseconds(0), milliseconds(500), milliseconds(2000)};
  outlook crowded = alone;
  crowded.slows_others = milliseconds(5000);
  EXPECT_NEAR(net_value(alone, wanted) - net_value(crowded, wanted), 0.2, 1e-9);
}

TEST(outlook_test, requests_leave_a_region_by_what_they_gain) {
  EXPECT_DOUBLE_EQ(spill_share(0.8, 0.8), 0);
  EXPECT_DOUBLE_EQ(spill_share(0.8, 0.7), 0);
  EXPECT_NEAR(spill_share(0.8, 0.9), 0.5, 1e-9);
  EXPECT_DOUBLE_EQ(spill_share(0.2, 0.9), 1);
}

TEST(outlook_test, a_free_slot_costs_no_wait) {
  EXPECT_EQ(slot_wait(0, 32, milliseconds(2000)).count(), 0);
  EXPECT_EQ(slot_wait(31, 32, milliseconds(2000)).count(), 0);
}

TEST(outlook_test, full_slots_cost_their_share_of_a_requests_time) {
  EXPECT_EQ(slot_wait(47, 32, milliseconds(2000)).count(), 1000);
  EXPECT_EQ(slot_wait(63, 32, milliseconds(2000)).count(), 2000);
  const outlook late = delayed(
      {milliseconds(1), milliseconds(2), milliseconds(3)}, milliseconds(1000));
  EXPECT_EQ(late.wait.count(), 1001);
  EXPECT_EQ(late.first_token.count(), 1002);
  EXPECT_EQ(late.finish.count(), 1003);
}

}  // namespace
}  // namespace trestlepost::routing

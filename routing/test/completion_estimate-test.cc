// Value of a request by its estimated course, spill shares and slot waits.
#include "trestlepost/routing/completion_estimate.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

constexpr latency_requirements wanted{milliseconds(1000), milliseconds(12'000)};

TEST(completion_estimate_test, an_early_complete_response_has_full_value) {
  EXPECT_DOUBLE_EQ(
      expected_value({milliseconds(0), milliseconds(500), milliseconds(5000)},
                     wanted),
      1);
}

TEST(completion_estimate_test,
     a_late_response_has_some_value_and_an_incomplete_one_none) {
  const double late = expected_value(
      {milliseconds(0), milliseconds(2000), milliseconds(5000)}, wanted);
  EXPECT_NEAR(late, 0.3, 1e-9);
  EXPECT_DOUBLE_EQ(
      expected_value({milliseconds(0), milliseconds(500), milliseconds(20'000)},
                     wanted),
      0);
}

RC_GTEST_PROP(completion_estimate_test, a_later_response_is_never_worth_more,
              ()) {
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

TEST(completion_estimate_test, earlier_completion_is_worth_more) {
  const completion_estimate slow{milliseconds(0), milliseconds(500),
                                 milliseconds(6000)};
  const completion_estimate fast{milliseconds(0), milliseconds(500),
                                 milliseconds(2000)};
  EXPECT_DOUBLE_EQ(expected_value(slow, wanted), expected_value(fast, wanted));
  EXPECT_NEAR(net_value(fast, wanted) - net_value(slow, wanted), 0.16, 1e-9);
}

TEST(completion_estimate_test, delaying_other_responses_lowers_the_net_value) {
  completion_estimate alone{milliseconds(0), milliseconds(500),
                            milliseconds(2000)};
  completion_estimate crowded = alone;
  crowded.delay_to_others = milliseconds(5000);
  EXPECT_NEAR(net_value(alone, wanted) - net_value(crowded, wanted), 0.2, 1e-9);
}

TEST(completion_estimate_test, the_spill_share_grows_with_the_gain) {
  EXPECT_DOUBLE_EQ(spill_share(0.8, 0.8), 0);
  EXPECT_DOUBLE_EQ(spill_share(0.8, 0.7), 0);
  EXPECT_NEAR(spill_share(0.8, 0.9), 0.5, 1e-9);
  EXPECT_DOUBLE_EQ(spill_share(0.2, 0.9), 1);
}

TEST(completion_estimate_test, a_free_slot_has_no_wait) {
  EXPECT_EQ(slot_wait(0, 32, milliseconds(2000)).count(), 0);
  EXPECT_EQ(slot_wait(31, 32, milliseconds(2000)).count(), 0);
}

TEST(completion_estimate_test, the_slot_wait_grows_with_the_load) {
  EXPECT_EQ(slot_wait(47, 32, milliseconds(2000)).count(), 1000);
  EXPECT_EQ(slot_wait(63, 32, milliseconds(2000)).count(), 2000);
  const completion_estimate late = delayed(
      {milliseconds(1), milliseconds(2), milliseconds(3)}, milliseconds(1000));
  EXPECT_EQ(late.wait.count(), 1001);
  EXPECT_EQ(late.first_token.count(), 1002);
  EXPECT_EQ(late.finish.count(), 1003);
}

}  // namespace
}  // namespace trestlepost::routing

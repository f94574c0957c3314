// Tests which revisions are confirmed and the measured times.
#include "trestlepost/config/confirmation_tracker.h"

#include <gtest/gtest.h>

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};

TEST(confirmation_tracker_test, revision_is_confirmed_once) {
  confirmation_tracker it;
  it.record_decision(7, start);
  EXPECT_TRUE(it.confirm(6, start + milliseconds(10)).empty());
  const std::vector<confirmed_revision> all =
      it.confirm(7, start + milliseconds(40));
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().revision, 7U);
  EXPECT_EQ(all.front().latency, milliseconds(40));
  EXPECT_TRUE(it.confirm(7, start + milliseconds(50)).empty());
}

TEST(confirmation_tracker_test, later_revision_confirms_earlier_ones) {
  confirmation_tracker it;
  it.record_decision(7, start);
  it.record_decision(9, start + milliseconds(100));
  const std::vector<confirmed_revision> all =
      it.confirm(9, start + milliseconds(150));
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all[0].latency, milliseconds(150));
  EXPECT_EQ(all[1].latency, milliseconds(50));
}

TEST(confirmation_tracker_test, repeated_decision_keeps_first_time) {
  confirmation_tracker it;
  it.record_decision(7, start);
  it.record_decision(7, start + milliseconds(100));
  const std::vector<confirmed_revision> all =
      it.confirm(7, start + milliseconds(150));
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().latency, milliseconds(150));
}

}  // namespace
}  // namespace trestlepost::config

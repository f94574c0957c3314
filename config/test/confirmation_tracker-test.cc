// Tests which revisions are confirmed and the measured times.
#include "trestlepost/config/confirmation_tracker.h"

#include <gtest/gtest.h>

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};

TEST(confirmation_tracker_test, a_revision_is_confirmed_once) {
  confirmation_tracker it;
  it.decided(7, start);
  EXPECT_TRUE(it.confirmed(6, start + milliseconds(10)).empty());
  const std::vector<confirmed_revision> all =
      it.confirmed(7, start + milliseconds(40));
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().revision, 7U);
  EXPECT_EQ(all.front().taken, milliseconds(40));
  EXPECT_TRUE(it.confirmed(7, start + milliseconds(50)).empty());
}

TEST(confirmation_tracker_test, a_later_revision_confirms_the_earlier_ones) {
  confirmation_tracker it;
  it.decided(7, start);
  it.decided(9, start + milliseconds(100));
  const std::vector<confirmed_revision> all =
      it.confirmed(9, start + milliseconds(150));
  ASSERT_EQ(all.size(), 2U);
  EXPECT_EQ(all[0].taken, milliseconds(150));
  EXPECT_EQ(all[1].taken, milliseconds(50));
}

TEST(confirmation_tracker_test, a_revision_told_twice_counts_from_the_first) {
  confirmation_tracker it;
  it.decided(7, start);
  it.decided(7, start + milliseconds(100));
  const std::vector<confirmed_revision> all =
      it.confirmed(7, start + milliseconds(150));
  ASSERT_EQ(all.size(), 1U);
  EXPECT_EQ(all.front().taken, milliseconds(150));
}

}  // namespace
}  // namespace trestlepost::config

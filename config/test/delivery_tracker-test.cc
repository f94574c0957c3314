// Tests which changes a watcher is sent, and when they are sent again.
#include "trestlepost/config/delivery_tracker.h"

#include <gtest/gtest.h>

namespace trestlepost::config {
namespace {

using std::chrono::milliseconds;

monotonic_time at(int ms) {
  return monotonic_time(milliseconds(10'000 + ms));
}

constexpr std::optional<revision_number> nothing;

TEST(content_delivery_test, what_is_under_way_is_not_sent_again) {
  content_delivery it;
  it.holds(3, at(0));
  EXPECT_EQ(it.due(4, at(0)), 3U);
  it.sent(4, at(0));
  // Polls that were sent before the update arrived report the old revision.
  for (int ms = 0; ms < 1900; ms += 50) {
    it.holds(3, at(ms));
    EXPECT_EQ(it.due(4, at(ms)), nothing) << ms;
  }
  it.holds(4, at(1900));
  EXPECT_EQ(it.due(4, at(60'000)), nothing);
}

TEST(content_delivery_test, a_later_change_goes_on_top_of_what_is_under_way) {
  content_delivery it;
  it.holds(3, at(0));
  it.sent(4, at(0));
  EXPECT_EQ(it.due(6, at(100)), 4U);
  it.sent(6, at(100));
  EXPECT_EQ(it.due(6, at(200)), nothing);
}

TEST(content_delivery_test, what_does_not_arrive_is_sent_again_from_there) {
  content_delivery it;
  it.holds(3, at(0));
  it.sent(4, at(0));
  // Further changes must not extend the timeout.
  it.sent(5, at(1500));
  EXPECT_FALSE(it.is_repeat(at(1900)));
  EXPECT_EQ(it.due(5, at(2000)), 3U);
  EXPECT_TRUE(it.is_repeat(at(2000)));
  it.sent(5, at(2000));
  EXPECT_FALSE(it.is_repeat(at(2000)));
  EXPECT_EQ(it.due(5, at(2500)), nothing);
  EXPECT_EQ(it.due(5, at(6000)), 3U);
}

// Guards against filling a slow link with copies of one change.
TEST(content_delivery_test, each_repeat_waits_twice_as_long) {
  content_delivery it;
  it.holds(3, at(0));
  int copies = 0;
  for (int ms = 0; ms < 60'000; ms += 100) {
    if (!it.due(4, at(ms))) continue;
    it.sent(4, at(ms));
    ++copies;
  }
  EXPECT_LE(copies, 8);
  // It is still sent again, at most 16 s later.
  EXPECT_EQ(it.due(4, at(60'000 + 16'000)), 3U);
  // Progress of the watcher resets the timeout to its initial value.
  it.holds(4, at(80'000));
  it.sent(5, at(80'000));
  EXPECT_EQ(it.due(5, at(82'000)), 4U);
}

TEST(content_delivery_test, progress_gives_the_rest_its_time) {
  content_delivery it;
  it.holds(3, at(0));
  it.sent(4, at(0));
  it.sent(5, at(1500));
  it.holds(4, at(1900));
  EXPECT_EQ(it.due(5, at(2500)), nothing);
  EXPECT_EQ(it.due(5, at(3900)), 4U);
}

TEST(content_delivery_test, a_gap_or_a_restart_is_answered_at_once) {
  content_delivery it;
  it.holds(3, at(0));
  it.sent(5, at(0));
  it.missed();
  EXPECT_EQ(it.due(5, at(10)), 3U);
  it.sent(5, at(10));
  it.holds(5, at(500));
  // The watcher restarted without its disk.
  it.holds(0, at(600));
  EXPECT_EQ(it.due(5, at(600)), 0U);
}

}  // namespace
}  // namespace trestlepost::config

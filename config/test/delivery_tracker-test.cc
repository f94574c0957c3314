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

TEST(delivery_tracker_test, change_in_flight_is_not_sent_again) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  EXPECT_EQ(it.pending_from(4, at(0)), 3U);
  it.record_sent(4, at(0));
  // Polls that were sent before the update arrived report the old revision.
  for (int ms = 0; ms < 1900; ms += 50) {
    it.acknowledge(3, at(ms));
    EXPECT_EQ(it.pending_from(4, at(ms)), nothing) << ms;
  }
  it.acknowledge(4, at(1900));
  EXPECT_EQ(it.pending_from(4, at(60'000)), nothing);
}

TEST(delivery_tracker_test, later_change_is_sent_while_one_is_in_flight) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  it.record_sent(4, at(0));
  EXPECT_EQ(it.pending_from(6, at(100)), 4U);
  it.record_sent(6, at(100));
  EXPECT_EQ(it.pending_from(6, at(200)), nothing);
}

TEST(delivery_tracker_test, lost_changes_are_sent_again) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  it.record_sent(4, at(0));
  // Further changes must not extend the timeout.
  it.record_sent(5, at(1500));
  EXPECT_FALSE(it.is_retransmission(at(1900)));
  EXPECT_EQ(it.pending_from(5, at(2000)), 3U);
  EXPECT_TRUE(it.is_retransmission(at(2000)));
  it.record_sent(5, at(2000));
  EXPECT_FALSE(it.is_retransmission(at(2000)));
  EXPECT_EQ(it.pending_from(5, at(2500)), nothing);
  EXPECT_EQ(it.pending_from(5, at(6000)), 3U);
}

// Guards against filling a slow link with copies of one change.
TEST(delivery_tracker_test, timeout_doubles_with_each_retransmission) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  int copies = 0;
  for (int ms = 0; ms < 60'000; ms += 100) {
    if (!it.pending_from(4, at(ms))) continue;
    it.record_sent(4, at(ms));
    ++copies;
  }
  EXPECT_LE(copies, 8);
  // It is still sent again, at most 16 s later.
  EXPECT_EQ(it.pending_from(4, at(60'000 + 16'000)), 3U);
  // Progress of the watcher resets the timeout to its initial value.
  it.acknowledge(4, at(80'000));
  it.record_sent(5, at(80'000));
  EXPECT_EQ(it.pending_from(5, at(82'000)), 4U);
}

TEST(delivery_tracker_test, progress_restarts_timeout) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  it.record_sent(4, at(0));
  it.record_sent(5, at(1500));
  it.acknowledge(4, at(1900));
  EXPECT_EQ(it.pending_from(5, at(2500)), nothing);
  EXPECT_EQ(it.pending_from(5, at(3900)), 4U);
}

TEST(delivery_tracker_test, gap_or_restart_is_answered_immediately) {
  delivery_tracker it;
  it.acknowledge(3, at(0));
  it.record_sent(5, at(0));
  it.discard_sent();
  EXPECT_EQ(it.pending_from(5, at(10)), 3U);
  it.record_sent(5, at(10));
  it.acknowledge(5, at(500));
  // The watcher restarted without its disk.
  it.acknowledge(0, at(600));
  EXPECT_EQ(it.pending_from(5, at(600)), 0U);
}

}  // namespace
}  // namespace trestlepost::config

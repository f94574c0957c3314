#include "trestlepost/routing/urgency_share.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::seconds;

constexpr monotonic_time start{seconds(1000)};

int admitted(const urgency_share& share, int priority, monotonic_time now) {
  constexpr int requests = 1000;
  seeded_random random(1);
  int out = 0;
  for (int n = 0; n < requests; ++n) {
    if (share.admits(priority, random, now)) ++out;
  }
  return out;
}

TEST(urgency_share_test, more_urgent_requests_come_first) {
  urgency_share share;
  share.record_refused(1, start);
  EXPECT_EQ(admitted(share, 0, start), 1000);
  EXPECT_EQ(admitted(share, 1, start), 1000);
  EXPECT_LT(admitted(share, 2, start), 400);
}

TEST(urgency_share_test, less_urgent_requests_are_not_starved) {
  urgency_share share;
  share.record_refused(0, start);
  EXPECT_GT(admitted(share, 9, start), 100);
}

TEST(urgency_share_test, refusals_are_forgotten) {
  urgency_share share;
  share.record_refused(0, start);
  EXPECT_EQ(admitted(share, 1, start + seconds(2)), 1000);
}

}  // namespace
}  // namespace trestlepost::routing

// Two senders together stay below the rate limit of a cold endpoint.
#include "trestlepost/routing/cold_limiter.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

TEST(cold_limiter_test, two_senders_stay_below_the_rate_limit) {
  constexpr double limit_per_second = 3.5;
  constexpr int seconds = 20;
  int sent = 0;
  for (std::size_t gateway = 0; gateway < cold_limiter::senders_per_endpoint;
       ++gateway) {
    cold_limiter limiter;
    const monotonic_time start{std::chrono::hours(1)};
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      const monotonic_time now = start + milliseconds(ms);
      if (!limiter.may_send("a", limit_per_second, now)) continue;
      limiter.record_sent("a", now);
      ++sent;
    }
  }
  EXPECT_LE(sent, limit_per_second * seconds);
  EXPECT_GE(sent, limit_per_second * seconds / 2);
}

TEST(cold_limiter_test, each_endpoint_has_its_own_limit) {
  cold_limiter limiter;
  const monotonic_time now{std::chrono::hours(1)};
  limiter.record_sent("a", now);
  EXPECT_FALSE(limiter.may_send("a", 1, now));
  EXPECT_TRUE(limiter.may_send("b", 1, now));
  EXPECT_TRUE(limiter.may_send("a", 0, now))
      << "0 means that there is no limit";
}

}  // namespace
}  // namespace trestlepost::routing

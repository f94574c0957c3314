// Two senders together stay below the rate limit of a cold endpoint.
#include "trestlepost/routing/cold_limiter.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

TEST(cold_limiter_test, a_cold_endpoint_gets_less_than_it_bears) {
  constexpr double bears = 3.5;
  constexpr int seconds = 20;
  int sent = 0;
  for (std::size_t gateway = 0; gateway < cold_limiter::senders_per_endpoint;
       ++gateway) {
    cold_limiter limiter;
    const monotonic_time start{std::chrono::hours(1)};
    for (int ms = 0; ms < seconds * 1000; ++ms) {
      const monotonic_time now = start + milliseconds(ms);
      if (!limiter.may_send("a", bears, now)) continue;
      limiter.sent("a", now);
      ++sent;
    }
  }
  EXPECT_LE(sent, bears * seconds);
  EXPECT_GE(sent, bears * seconds / 2);
}

TEST(cold_limiter_test, endpoints_have_limits_of_their_own) {
  cold_limiter limiter;
  const monotonic_time now{std::chrono::hours(1)};
  limiter.sent("a", now);
  EXPECT_FALSE(limiter.may_send("a", 1, now));
  EXPECT_TRUE(limiter.may_send("b", 1, now));
  EXPECT_TRUE(limiter.may_send("a", 0, now)) << "no limit is stated";
}

}  // namespace
}  // namespace trestlepost::routing

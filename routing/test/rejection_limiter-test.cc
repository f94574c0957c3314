// Tests that gateways without coordination stay below the rejections per second
// that an endpoint bears.
#include "trestlepost/routing/rejection_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

constexpr monotonic_time start{milliseconds(100'000)};

TEST(rejection_limiter_test, a_limit_holds_until_an_answer_states_none) {
  rejection_limiter it;
  EXPECT_FALSE(it.limit_of("s", start));
  it.record_limit("s", 3, start);
  EXPECT_EQ(it.limit_of("s", start + milliseconds(9000)), 3U);
  EXPECT_FALSE(it.limit_of("s", start + milliseconds(10'000)));
  it.record_limit("s", std::nullopt, start);
  EXPECT_FALSE(it.limit_of("s", start));
}

TEST(rejection_limiter_test, accepted_requests_are_not_limited) {
  rejection_limiter it;
  for (int n = 0; n < 100; ++n) {
    EXPECT_TRUE(it.may_send("e", 2, 0, 2, start));
    it.record_sent("e");
    EXPECT_FALSE(it.may_send("e", 2, 0, 2, start));
    it.record_outcome("e", false, start);
  }
}

TEST(rejection_limiter_test, only_as_many_gateways_send_as_may_be_rejected) {
  const rejection_limiter it;
  EXPECT_TRUE(it.may_send("e", 3, 2, 10, start));
  EXPECT_FALSE(it.may_send("e", 3, 3, 10, start));
  EXPECT_TRUE(it.may_send("e", 0, 0, 10, start));
  EXPECT_FALSE(it.may_send("e", 0, 1, 10, start));
}

// An endpoint without room fell over: gateways learned of it from rejections,
// one for each request that they had sent meanwhile.
RC_GTEST_PROP(rejection_limiter_test, rejections_in_any_second_stay_in_limit,
              ()) {
  const auto gateways = *rc::gen::inRange<std::size_t>(1, 30);
  const auto limit = *rc::gen::inRange<unsigned>(1, 12);
  struct open_send {
    std::size_t gateway;
    monotonic_time rejected_at;
    monotonic_time known_at;
  };
  std::vector<rejection_limiter> limiters(gateways);
  std::vector<open_send> open;
  std::vector<monotonic_time> rejections;
  for (monotonic_time now = start; now < start + milliseconds(4000);
       now += milliseconds(5)) {
    for (const open_send& it : open) {
      if (it.known_at == now)
        limiters[it.gateway].record_outcome("e", true, now);
    }
    for (std::size_t n = 0; n < gateways; ++n) {
      if (!limiters[n].may_send("e", limit, n, gateways, now)) continue;
      limiters[n].record_sent("e");
      const milliseconds there{5 * *rc::gen::inRange(1, 10)};
      const milliseconds back{5 * *rc::gen::inRange(1, 10)};
      open.push_back({n, now + there, now + there + back});
      rejections.push_back(now + there);
    }
  }
  RC_ASSERT(!rejections.empty());
  std::sort(rejections.begin(), rejections.end());
  for (std::size_t n = limit; n < rejections.size(); ++n) {
    RC_ASSERT(rejections[n] - rejections[n - limit] >= milliseconds(1000));
  }
}

}  // namespace
}  // namespace trestlepost::routing

#include "trestlepost/routing/retry_window.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const monotonic_time start;

TEST(retry_window_test, what_a_window_allows_may_be_taken_at_once) {
  const shared_retry_limits limits{0.2, 52, milliseconds(10'000)};
  retry_window it(window_share_of(limits, 6));
  for (int n = 0; n < 200; ++n) {
    it.request_seen(start + milliseconds(40) * n);
  }
  const monotonic_time broken = start + milliseconds(8000);
  int taken = 0;
  while (it.take(broken)) ++taken;
  EXPECT_GE(taken, 30);
  EXPECT_LE(taken, 36);
  EXPECT_FALSE(it.take(broken + milliseconds(2000)));
}

TEST(retry_window_test, a_window_later_it_allows_as_much_again) {
  retry_window it({0, 4, milliseconds(1000)});
  int taken = 0;
  while (it.take(start)) ++taken;
  EXPECT_EQ(taken, 4);
  EXPECT_FALSE(it.take(start + milliseconds(1000)));
  EXPECT_TRUE(it.take(start + milliseconds(1101)));
}

TEST(retry_window_test, a_smaller_share_counts_what_was_taken_before) {
  const shared_retry_limits limits{0.2, 100, milliseconds(10'000)};
  retry_window it(window_share_of(limits, 1));
  for (int n = 0; n < 3; ++n) EXPECT_TRUE(it.take(start));
  it.set_options(window_share_of(limits, 25));
  EXPECT_FALSE(it.take(start));
}

RC_GTEST_PROP(retry_window_test, gateways_together_keep_every_window, ()) {
  const shared_retry_limits limits{0.2, 54, milliseconds(10'000)};
  const std::size_t gateways = *rc::gen::element<std::size_t>(1, 6, 61);
  std::vector<retry_window> all(
      gateways, retry_window(window_share_of(limits, gateways)));
  struct moment {
    monotonic_time at;
    int requests = 0;
    int retries = 0;
  };
  std::vector<moment> past;
  monotonic_time now = start;
  for (int n = 0; n < 120; ++n) {
    now += milliseconds(*rc::gen::inRange(1, 900));
    moment one{now};
    one.requests = *rc::gen::inRange(0, 40);
    const int wanted = *rc::gen::inRange(0, 60);
    for (int i = 0; i < one.requests; ++i) {
      all[static_cast<std::size_t>(i) % gateways].request_seen(now);
    }
    for (int i = 0; i < wanted; ++i) {
      if (all[static_cast<std::size_t>(i) % gateways].take(now)) ++one.retries;
    }
    past.push_back(one);
    double requests = 0;
    double retries = 0;
    for (const moment& it : past) {
      if (it.at + limits.window <= now) continue;
      requests += it.requests;
      retries += it.retries;
    }
    RC_ASSERT(retries <= limits.ratio * requests + limits.slack);
  }
}

}  // namespace
}  // namespace trestlepost::routing

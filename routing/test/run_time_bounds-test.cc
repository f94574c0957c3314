// Tests what is expected of the time that a request takes.
#include "trestlepost/routing/run_time_bounds.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <vector>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr monotonic_time start{seconds(1000)};
constexpr int enough = 100;

/// Runs `count` requests that take `time` each, one after another.
monotonic_time run(run_time_bounds& it, const std::string& kind, int count,
                   milliseconds time, monotonic_time now) {
  for (int n = 0; n < count; ++n) {
    it.begin(kind, now);
    it.end(kind, now, now + time, true);
    now += time;
  }
  return now;
}

TEST(run_time_bounds_test, few_requests_tell_nothing) {
  run_time_bounds it;
  const monotonic_time now = run(it, "a", enough - 1, milliseconds(50), start);
  EXPECT_FALSE(it.bound("a", now));
}

TEST(run_time_bounds_test, kinds_are_apart) {
  run_time_bounds it;
  monotonic_time now = run(it, "a", enough, milliseconds(50), start);
  now = run(it, "b", enough, milliseconds(800), now);
  EXPECT_EQ(it.bound("a", now), run_time_bounds::with_margin(milliseconds(50)));
  EXPECT_EQ(it.bound("b", now),
            run_time_bounds::with_margin(milliseconds(800)));
  EXPECT_FALSE(it.bound("c", now));
}

// Short requests end first, so a node that has just started has seen only
// those.
TEST(run_time_bounds_test, a_request_that_outlasts_all_others_leaves_none) {
  run_time_bounds it;
  it.begin("a", start);
  const monotonic_time now = run(it, "a", enough, milliseconds(50), start);
  EXPECT_FALSE(it.bound("a", now));
  it.end("a", start, now, true);
  EXPECT_EQ(it.bound("a", now), run_time_bounds::with_margin(now - start));
}

// A caller that gives up shows that a whole request may take longer.
TEST(run_time_bounds_test, incomplete_requests_lengthen_the_bound) {
  run_time_bounds it;
  it.begin("a", start);
  it.end("a", start, start + seconds(3), false);
  EXPECT_FALSE(it.bound("a", start + seconds(3)));
  const monotonic_time now =
      run(it, "a", enough, milliseconds(50), start + seconds(3));
  EXPECT_EQ(it.bound("a", now), run_time_bounds::with_margin(seconds(3)));
}

TEST(run_time_bounds_test, old_requests_are_forgotten) {
  run_time_bounds it;
  monotonic_time now = run(it, "a", enough, milliseconds(900), start);
  now += seconds(60);
  now = run(it, "a", enough, milliseconds(50), now);
  EXPECT_EQ(it.bound("a", now), run_time_bounds::with_margin(milliseconds(900)))
      << "requests of the last minute count";
  now += seconds(60);
  now = run(it, "a", enough, milliseconds(50), now);
  EXPECT_EQ(it.bound("a", now), run_time_bounds::with_margin(milliseconds(50)));
  EXPECT_FALSE(it.bound("a", now + seconds(121)));
}

// A bound is never below what a request of the last minute has taken, or what
// one in progress has taken so far.
RC_GTEST_PROP(run_time_bounds_test, bounds_hold_for_recent_requests, ()) {
  struct run_time {
    monotonic_time began;
    nanoseconds taken;
  };
  run_time_bounds it;
  std::vector<run_time> ended;
  std::vector<monotonic_time> open;
  monotonic_time now = start;
  const int steps = *rc::gen::inRange(1, 400);
  for (int n = 0; n < steps; ++n) {
    now += milliseconds(*rc::gen::inRange(0, 900));
    const bool begins = open.empty() || *rc::gen::arbitrary<bool>();
    if (begins) {
      it.begin("a", now);
      open.push_back(now);
      continue;
    }
    const auto at = *rc::gen::inRange<std::size_t>(0, open.size());
    it.end("a", open[at], now, *rc::gen::inRange(0, 8) > 0);
    ended.push_back({open[at], now - open[at]});
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
    const std::optional<nanoseconds> bound = it.bound("a", now);
    if (!bound) continue;
    for (const run_time& seen : ended) {
      const bool recent = now - (seen.began + seen.taken) < seconds(60);
      if (recent) RC_ASSERT(*bound >= seen.taken);
    }
    for (const monotonic_time began : open) RC_ASSERT(*bound >= now - began);
  }
}

}  // namespace
}  // namespace trestlepost::routing

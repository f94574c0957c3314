// Tests of how long a node lags behind others.
#include "configuration/revision_lag.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};
constexpr milliseconds step{250};
constexpr int steps = 20;

TEST(revision_lag_test, lag_runs_from_the_first_report_of_a_newer_revision) {
  revision_lag it;
  monotonic_time now = start;
  for (int n = 0; n <= steps; ++n, now += step)
    it.record(4, 5 + static_cast<config::revision_number>(n), start, now);
  EXPECT_EQ(it.lag(start + steps * step), steps * step);
  it.record(100, 100, start, now);
  EXPECT_EQ(it.lag(now), milliseconds(0));
}

// Guards against a node that stops to serve because of what another node
// reports although the leader confirms what it has.
TEST(revision_lag_test, lag_runs_from_the_last_confirmation) {
  revision_lag it;
  for (int n = 0; n <= steps; ++n) {
    const monotonic_time now = start + n * step;
    it.record(4, 5, now, now);
    EXPECT_EQ(it.lag(now), milliseconds(0));
  }
  const monotonic_time end = start + steps * step;
  it.record(4, 5, end, end + 3 * step);
  EXPECT_EQ(it.lag(end + 3 * step), 3 * step);
}

TEST(revision_lag_test, node_without_a_confirmation_lags) {
  revision_lag it;
  it.record(4, 5, std::nullopt, start);
  EXPECT_EQ(it.lag(start + step), step);
}

}  // namespace
}  // namespace trestlepost::node

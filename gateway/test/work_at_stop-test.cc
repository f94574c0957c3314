// Tests which requests a stopping node begins, and how those that it ends are
// told apart.
#include "trestlepost/gateway/work_at_stop.h"

#include <gtest/gtest.h>

#include "trestlepost/gateway/retry_after.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time start{seconds(1000)};
constexpr monotonic_time stop_end = start + seconds(7);

class work_at_stop_test : public testing::Test {
 protected:
  work_at_stop_test() { stop_.begin(stop_end); }

  /// Lets requests of the kind be known to take so long.
  void learn(const std::string& kind, milliseconds time) {
    for (int n = 0; n < 100; ++n) {
      times_.begin(kind, start - time);
      times_.end(kind, start - time, start, true);
    }
  }
  bool may_begin_at(const std::string& kind, monotonic_time deadline,
                    monotonic_time now) {
    return may_begin(stop_, times_, kind, deadline, now);
  }

  stop_deadline stop_;
  routing::run_time_bounds times_;
};

TEST_F(work_at_stop_test, a_node_that_runs_begins_everything) {
  const stop_deadline none;
  EXPECT_TRUE(may_begin(none, times_, "a", start + seconds(60), start));
  EXPECT_TRUE(may_take(none, seconds(50), start + seconds(60), start));
}

// Such requests were cut at the end of the grace, with no answer.
TEST_F(work_at_stop_test, requests_of_unknown_length_are_not_begun) {
  EXPECT_FALSE(may_begin_at("a", start + seconds(12), start));
}

TEST_F(work_at_stop_test, a_request_with_an_earlier_deadline_is_begun) {
  EXPECT_TRUE(may_begin_at("a", start + seconds(6), start));
  EXPECT_TRUE(may_begin_at("a", stop_end, start + seconds(6)));
  EXPECT_TRUE(
      may_take(stop_, seconds(60), start + seconds(6), start + seconds(5)));
}

// Long ones that were begun late in the grace were cut; short ones are served
// for as long as the node accepts requests.
TEST_F(work_at_stop_test, requests_are_begun_while_their_time_is_left) {
  learn("short", milliseconds(50));
  learn("long", seconds(4));
  const monotonic_time deadline = start + seconds(30);
  EXPECT_TRUE(may_begin_at("short", deadline, start + seconds(6)));
  EXPECT_FALSE(may_begin_at("short", deadline, stop_end - milliseconds(50)));
  EXPECT_TRUE(may_begin_at("long", deadline, start + seconds(1)));
  EXPECT_FALSE(may_begin_at("long", deadline, start + seconds(3)));
}

TEST_F(work_at_stop_test, an_estimate_needs_its_margin) {
  const monotonic_time deadline = start + seconds(30);
  EXPECT_TRUE(may_take(stop_, seconds(5), deadline, start));
  EXPECT_FALSE(may_take(stop_, seconds(6), deadline, start));
  EXPECT_FALSE(may_take(stop_, seconds(0), deadline, stop_end));
}

TEST_F(work_at_stop_test, a_deadline_of_the_stop_is_not_the_requests_own) {
  const error late{error_kind::deadline, "no answer", ""};
  const error lost{error_kind::endpoint_failed, "reset", ""};
  const monotonic_time deadline = start + seconds(30);
  EXPECT_TRUE(is_ended_by_stop(stop_, late, deadline, stop_end));
  EXPECT_FALSE(is_ended_by_stop(stop_, lost, deadline, stop_end));
  EXPECT_FALSE(is_ended_by_stop(stop_, late, stop_end, stop_end));
  EXPECT_FALSE(is_ended_by_stop(stop_, late, deadline, stop_end - seconds(1)));
  const stop_deadline none;
  EXPECT_FALSE(is_ended_by_stop(none, late, deadline, start + seconds(60)));
}

// Another gateway or node has to take what a stopping one refuses.
TEST_F(work_at_stop_test, its_refusal_leads_to_another_gateway) {
  attempt refused = stopping_refusal();
  EXPECT_EQ(refused.ran, run_state::no);
  EXPECT_EQ(refused.retry_after, retry_after_wrong_node);
  refused.gateway = "g1";
  EXPECT_TRUE(is_gateway_failure(refused));
}

// A request whose body was cut off by the stop was told no time to return, and
// its caller waited for longer than it takes to reach another node.
TEST_F(work_at_stop_test, an_unread_request_may_go_to_another_node_at_once) {
  const attempt refused = unread_attempt(stopping_error());
  EXPECT_EQ(refused.ran, run_state::no);
  EXPECT_EQ(refused.retry_after, retry_after_wrong_node);
}

}  // namespace
}  // namespace trestlepost::gateway

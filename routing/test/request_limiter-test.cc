#include "trestlepost/routing/request_limiter.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time start{seconds(1000)};

/// Returns how many requests may be sent in the time, one tick after another.
int sent_within(request_limiter& limiter, monotonic_time from, seconds time) {
  int out = 0;
  for (monotonic_time now = from; now < from + time; now += milliseconds(50)) {
    if (!limiter.may_send("e", now)) continue;
    limiter.record_sent("e", now);
    ++out;
  }
  return out;
}

TEST(request_limiter_test, endpoints_without_limit_are_not_limited) {
  request_limiter limiter;
  limiter.record_answer("e", std::nullopt, start);
  EXPECT_TRUE(limiter.may_send("e", start));
  EXPECT_TRUE(limiter.limited_endpoints().empty());
}

TEST(request_limiter_test, nothing_is_saved_when_a_limit_becomes_known) {
  request_limiter limiter;
  EXPECT_TRUE(limiter.record_answer("e", 1.0, start));
  EXPECT_FALSE(limiter.may_send("e", start));
  EXPECT_TRUE(limiter.may_send("e", start + seconds(2)));
}

TEST(request_limiter_test, a_gateway_that_is_no_sender_sends_nothing) {
  request_limiter limiter;
  limiter.record_answer("e", 1.0, start);
  limiter.set_position("e", {3, 7}, start);
  EXPECT_EQ(sent_within(limiter, start, seconds(9)), 0);
}

// Senders without callers would keep the others from ever learning that the
// limit has ended.
TEST(request_limiter_test, senders_are_replaced_if_nothing_is_heard) {
  for (std::size_t rank = 0; rank < 7; ++rank) {
    request_limiter limiter;
    limiter.record_answer("e", 1.0, start);
    limiter.set_position("e", {rank, 7}, start);
    int sent = 0;
    for (int second = 0; second < 60; ++second) {
      const monotonic_time now = start + seconds(second);
      limiter.set_position("e", {rank, 7}, now);
      sent += sent_within(limiter, now, seconds(1));
    }
    EXPECT_GT(sent, 0) << rank;
    EXPECT_LT(sent, 20) << rank;
  }
}

TEST(request_limiter_test, a_limit_ends_with_the_next_answer_without_one) {
  request_limiter limiter;
  limiter.record_answer("e", 1.0, start);
  EXPECT_TRUE(limiter.record_answer("e", std::nullopt, start + seconds(1)));
  EXPECT_TRUE(limiter.may_send("e", start + seconds(1)));
}

TEST(request_limiter_test, silence_does_not_end_a_limit) {
  request_limiter limiter;
  limiter.record_answer("e", 1.0, start);
  limiter.retain([](const std::string& it) { return it == "e"; },
                 start + std::chrono::hours(1));
  EXPECT_EQ(limiter.limit_of("e"), 1.0);
}

TEST(request_limiter_test, reports_of_other_gateways_set_and_end_limits) {
  request_limiter limiter;
  EXPECT_TRUE(limiter.record_report("e", 1.0, start, start));
  EXPECT_EQ(limiter.limit_of("e"), 1.0);
  const monotonic_time later = start + seconds(5);
  EXPECT_TRUE(limiter.record_report("e", std::nullopt, later, later));
  EXPECT_FALSE(limiter.limit_of("e"));
}

// An answer to another gateway from before the limit must not end it.
TEST(request_limiter_test, a_late_report_does_not_end_a_limit) {
  request_limiter limiter;
  limiter.record_answer("e", 1.0, start);
  const monotonic_time later = start + seconds(1);
  EXPECT_FALSE(limiter.record_report("e", std::nullopt, later, later));
  EXPECT_EQ(limiter.limit_of("e"), 1.0);
}

TEST(request_limiter_test, only_answers_to_this_gateway_are_its_statements) {
  request_limiter limiter;
  limiter.record_report("e", 1.0, start, start);
  EXPECT_TRUE(limiter.own_statements(start).empty());
  limiter.record_answer("e", 2.0, start);
  const membership::limit_statements expected{{"e", {2.0, milliseconds(300)}}};
  EXPECT_EQ(limiter.own_statements(start + milliseconds(300)), expected);
}

TEST(request_limiter_test, limits_below_any_rate_still_permit_a_request) {
  request_limiter limiter;
  limiter.record_answer("e", 0.0, start);
  const int sent = sent_within(limiter, start, seconds(60));
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 3);
}

}  // namespace
}  // namespace trestlepost::routing

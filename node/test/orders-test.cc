// Tests of the bounds on when an operator's order was given.
#include <gtest/gtest.h>

#include "orders/arrival_bound.h"
#include "orders/decision_history.h"
#include "orders/leader_clock.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{25};

monotonic_time at(int ms) {
  return monotonic_time(milliseconds(ms));
}

/// Ticks from `from` to `to`, with the time in ms as the revision.
void tick(arrival_bound& it, int from, int to) {
  for (int ms = from; ms <= to; ms += static_cast<int>(tick_interval.count())) {
    it.record_tick({at(ms), static_cast<config::revision_number>(ms)});
  }
}

TEST(arrival_bound_test, calls_read_without_a_stall_arrived_just_before) {
  arrival_bound it;
  EXPECT_EQ(it.before_arrival(at(40)).at, at(40));
  tick(it, 1000, 2000);
  const node_moment bound = it.before_arrival(at(2010));
  EXPECT_LT(bound.at, at(2000));
  EXPECT_GE(bound.at, at(1900));
  EXPECT_EQ(at(static_cast<int>(bound.revision)), bound.at);
}

// A call that waited in the socket of a frozen process was taken for new.
TEST(arrival_bound_test, calls_read_after_a_stall_may_have_arrived_before_it) {
  arrival_bound it;
  tick(it, 1000, 2000);
  // Before the first tick after the stall, and after it.
  EXPECT_LE(it.before_arrival(at(5000)).at, at(2000));
  tick(it, 5000, 5100);
  EXPECT_LE(it.before_arrival(at(5110)).at, at(2000));
  EXPECT_LE(it.before_arrival(at(5110)).revision, 2000U);
  tick(it, 5125, 5400);
  EXPECT_GT(it.before_arrival(at(5410)).at, at(5300));
}

// An order right behind its opposite would be taken for overtaken by it.
TEST(arrival_bound_test, the_system_tells_the_arrival_more_precisely) {
  arrival_bound it;
  tick(it, 1000, 2000);
  EXPECT_EQ(it.arrival(at(2010), milliseconds(4)).at, at(2006));
  // What it doesn't tell, or tells of an earlier time, leaves the bound.
  const monotonic_time bound = it.before_arrival(at(2010)).at;
  EXPECT_EQ(it.arrival(at(2010), std::nullopt).at, bound);
  EXPECT_EQ(it.arrival(at(2010), milliseconds(900)).at, bound);
  // The revision is still that of the bound.
  EXPECT_EQ(it.arrival(at(2010), milliseconds(4)).revision,
            it.before_arrival(at(2010)).revision);
}

// A system that tells no times must not make a call that waited in a frozen
// process's socket look new.
TEST(arrival_bound_test, unknown_times_leave_the_bound_after_a_stall) {
  arrival_bound it;
  tick(it, 1000, 2000);
  EXPECT_LE(it.arrival(at(5000), std::nullopt).at, at(2000));
  tick(it, 5000, 5025);
  EXPECT_LE(it.arrival(at(5030), milliseconds(0)).at, at(2000));
  EXPECT_EQ(it.arrival(at(5030), milliseconds(900)).at, at(4130));
}

TEST(arrival_bound_test, stalls_in_succession_reach_back_to_the_first) {
  arrival_bound it;
  tick(it, 1000, 2000);
  tick(it, 3000, 3050);
  tick(it, 4000, 4050);
  EXPECT_LE(it.before_arrival(at(4060)).at, at(3000));
  tick(it, 4075, 4400);
  EXPECT_GT(it.before_arrival(at(4410)).at, at(4300));
}

// A late message must not make an old order look new, nor a new one old.
TEST(leader_clock_test, converted_times_are_never_later_than_the_leaders) {
  // The leader's clock is 70 s ahead; messages take 5 to 500 ms.
  constexpr int ahead = 70'000;
  leader_clock it;
  int fastest = 500;
  for (const int delay : {80, 500, 5, 200}) {
    const int sent = 1000;
    fastest = std::min(fastest, delay);
    it.record(3, at(sent + ahead), at(sent + delay));
    const std::optional<monotonic_time> converted =
        it.to_leader_time(3, at(900));
    ASSERT_TRUE(converted);
    EXPECT_EQ(*converted, at(900 + ahead - fastest));
  }
}

// The leader's clock is slower by a thousandth: an old bound would make orders
// look newer than they are.
TEST(leader_clock_test, converted_times_follow_a_clock_that_drifts) {
  constexpr int seconds = 600;
  constexpr int delay = 20;
  leader_clock it;
  for (int n = 0; n < seconds; ++n) {
    const int sent = 1000 * n;
    const int drift = n;
    it.record(3, at(sent - drift), at(sent + delay));
    const std::optional<monotonic_time> converted =
        it.to_leader_time(3, at(sent + delay));
    ASSERT_TRUE(converted);
    EXPECT_LE(*converted, at(sent + delay - drift));
    EXPECT_GE(*converted, at(sent - drift));
  }
}

TEST(leader_clock_test, times_of_another_leader_are_not_converted) {
  leader_clock it;
  EXPECT_FALSE(it.to_leader_time(0, at(1)));
  it.record(3, at(1000), at(20));
  EXPECT_FALSE(it.to_leader_time(4, at(1)));
  it.record(2, at(9000), at(30));
  EXPECT_EQ(it.to_leader_time(3, at(20)), at(1000));
}

TEST(decision_history_test, finds_the_newest_decision_before_a_time) {
  decision_history it;
  EXPECT_EQ(it.decided_before(1, at(100)), 0U);
  it.record(1, 7, at(100));
  it.record(1, 8, at(200));
  it.record(1, 8, at(250));
  EXPECT_EQ(it.decided_before(1, at(100)), 0U);
  EXPECT_EQ(it.decided_before(1, at(101)), 7U);
  EXPECT_EQ(it.decided_before(1, at(201)), 8U);
  it.record(1, 9, at(60'000));
  it.record(1, 10, at(70'000));
  EXPECT_EQ(it.decided_before(1, at(65'000)), 9U);
}

// A new leader doesn't know when its predecessor's decisions were made.
TEST(decision_history_test, decisions_of_another_term_are_unknown) {
  decision_history it;
  it.record(1, 7, at(100));
  EXPECT_EQ(it.decided_before(2, at(200)), 0U);
  it.record(2, 8, at(300));
  EXPECT_EQ(it.decided_before(2, at(250)), 0U);
}

}  // namespace
}  // namespace trestlepost::node

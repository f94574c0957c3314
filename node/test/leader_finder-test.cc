#include "leader_finder.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds timeout{1500};
const monotonic_time start{std::chrono::hours(1)};

TEST(leader_finder_test, a_leader_named_after_a_long_outage_is_used) {
  leader_finder finder(timeout);
  finder.set_leader("a", start);
  const monotonic_time later = start + milliseconds(60'000);
  EXPECT_EQ(finder.leader(later), "");
  EXPECT_TRUE(finder.set_leader("b", later));
  EXPECT_EQ(finder.leader(later + milliseconds(500)), "b");
}

TEST(leader_finder_test, an_unconfirmed_leader_expires) {
  leader_finder finder(timeout);
  finder.set_leader("a", start);
  EXPECT_FALSE(finder.set_leader("a", start + milliseconds(1000)));
  EXPECT_EQ(finder.leader(start + timeout), "a");
  EXPECT_EQ(finder.leader(start + timeout + milliseconds(1)), "");
}

TEST(leader_finder_test, a_confirmed_leader_is_kept) {
  leader_finder finder(timeout);
  finder.set_leader("a", start);
  finder.confirmed(start + milliseconds(1000));
  EXPECT_EQ(finder.leader(start + milliseconds(2500)), "a");
}

}  // namespace
}  // namespace trestlepost::node

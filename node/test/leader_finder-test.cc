#include "leader_finder.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds patience{1500};
const monotonic_time start{std::chrono::hours(1)};

TEST(leader_finder_test, a_leader_learned_after_a_long_silence_is_asked) {
  leader_finder finder(patience);
  finder.learn("a", start);
  const monotonic_time later = start + milliseconds(60'000);
  EXPECT_EQ(finder.leader(later), "");
  EXPECT_TRUE(finder.learn("b", later));
  EXPECT_EQ(finder.leader(later + milliseconds(500)), "b");
}

TEST(leader_finder_test, a_leader_that_confirms_nothing_is_given_up) {
  leader_finder finder(patience);
  finder.learn("a", start);
  EXPECT_FALSE(finder.learn("a", start + milliseconds(1000)));
  EXPECT_EQ(finder.leader(start + patience), "a");
  EXPECT_EQ(finder.leader(start + patience + milliseconds(1)), "");
}

TEST(leader_finder_test, a_confirming_leader_is_kept) {
  leader_finder finder(patience);
  finder.learn("a", start);
  finder.confirmed(start + milliseconds(1000));
  EXPECT_EQ(finder.leader(start + milliseconds(2500)), "a");
}

TEST(leader_finder_test, without_a_leader_all_are_asked_in_turn) {
  leader_finder finder(patience);
  const std::vector<std::string> all{"x", "y"};
  EXPECT_EQ(finder.next_of(all), "x");
  EXPECT_EQ(finder.next_of(all), "y");
  EXPECT_EQ(finder.next_of(all), "x");
  EXPECT_EQ(finder.next_of({}), "");
}

}  // namespace
}  // namespace trestlepost::node

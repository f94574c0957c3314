// Tests that entries of superseded endpoint incarnations are dropped, also when
// a delayed list arrives after a newer one.
#include "trestlepost/gateway/endpoint_incarnations.h"

#include <gtest/gtest.h>

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using surface::listed_endpoint;
using surface::start_time;

const monotonic_time start{std::chrono::hours(1)};

listed_endpoint entry(const std::string& id, int born,
                      const std::string& address = "10.0.0.9:80") {
  listed_endpoint out;
  out.identity = {id, start_time(milliseconds(born))};
  out.address = address;
  return out;
}

TEST(endpoint_lives_test, only_the_newest_life_is_used) {
  endpoint_lives lives;
  const std::vector<listed_endpoint> both{entry("a", 5), entry("a", 9),
                                          entry("b", 0), entry("a", 0)};
  EXPECT_EQ(lives.newest(both, start),
            (std::vector{entry("a", 9), entry("b", 0)}));
}

TEST(endpoint_lives_test, a_late_list_does_not_bring_an_older_life_back) {
  endpoint_lives lives;
  lives.newest({entry("a", 9)}, start);
  EXPECT_TRUE(lives.newest({entry("a", 5)}, start + seconds(1)).empty());
  // Neither does an entry without a start time, after the endpoint was not
  // listed for a while.
  EXPECT_TRUE(lives.newest({}, start + seconds(30)).empty());
  EXPECT_TRUE(lives.newest({entry("a", 0)}, start + seconds(59)).empty());
  EXPECT_EQ(lives.newest({entry("a", 12)}, start + seconds(59)).size(), 1U);
}

TEST(endpoint_lives_test, lives_that_are_long_gone_are_forgotten) {
  endpoint_lives lives;
  lives.newest({entry("a", 9)}, start);
  EXPECT_EQ(lives.newest({entry("a", 5)}, start + seconds(61)).size(), 1U);
}

TEST(endpoint_lives_test, of_two_entries_for_one_life_the_first_holds) {
  endpoint_lives lives;
  listed_endpoint leaving = entry("a", 9, "10.0.0.8:80");
  leaving.leaving = true;
  listed_endpoint expected = entry("a", 9);
  expected.leaving = true;
  EXPECT_EQ(lives.newest({entry("a", 9), leaving}, start),
            (std::vector{expected}));
}

}  // namespace
}  // namespace trestlepost::gateway

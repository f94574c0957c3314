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

TEST(endpoint_incarnations_test, only_the_newest_incarnation_is_returned) {
  endpoint_incarnations incarnations;
  const std::vector<listed_endpoint> both{entry("a", 5), entry("a", 9),
                                          entry("b", 0), entry("a", 0)};
  EXPECT_EQ(incarnations.select_newest(both, start),
            (std::vector{entry("a", 9), entry("b", 0)}));
}

TEST(endpoint_incarnations_test,
     a_delayed_list_does_not_restore_an_older_incarnation) {
  endpoint_incarnations incarnations;
  incarnations.select_newest({entry("a", 9)}, start);
  EXPECT_TRUE(
      incarnations.select_newest({entry("a", 5)}, start + seconds(1)).empty());
  // Neither does an entry without a start time, after the endpoint was not
  // listed for a while.
  EXPECT_TRUE(incarnations.select_newest({}, start + seconds(30)).empty());
  EXPECT_TRUE(
      incarnations.select_newest({entry("a", 0)}, start + seconds(59)).empty());
  EXPECT_EQ(
      incarnations.select_newest({entry("a", 12)}, start + seconds(59)).size(),
      1U);
}

TEST(endpoint_incarnations_test,
     an_incarnation_is_forgotten_a_minute_after_its_last_listing) {
  endpoint_incarnations incarnations;
  incarnations.select_newest({entry("a", 9)}, start);
  EXPECT_EQ(
      incarnations.select_newest({entry("a", 5)}, start + seconds(61)).size(),
      1U);
}

TEST(endpoint_incarnations_test, duplicate_entries_are_merged_into_the_first) {
  endpoint_incarnations incarnations;
  listed_endpoint leaving = entry("a", 9, "10.0.0.8:80");
  leaving.leaving = true;
  listed_endpoint expected = entry("a", 9);
  expected.leaving = true;
  EXPECT_EQ(incarnations.select_newest({entry("a", 9), leaving}, start),
            (std::vector{expected}));
}

}  // namespace
}  // namespace trestlepost::gateway

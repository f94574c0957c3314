// How long endpoints count as cold after reports and ended zone evacuations.
#include "trestlepost/routing/endpoint_warmth.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const monotonic_time start{std::chrono::hours(1)};
constexpr milliseconds warmup{3000};

bool may_be_cold(const endpoint_warmth& it, milliseconds after) {
  return it.may_be_cold("a", "z", warmup, start + after);
}

TEST(endpoint_warmth_test, what_is_told_holds_for_the_time_that_is_told) {
  endpoint_warmth it;
  it.told("a", milliseconds(500), warmth_source::list, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(500)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(501)));
  EXPECT_FALSE(it.may_be_cold("b", "z", warmup, start));
}

TEST(endpoint_warmth_test, a_zone_that_returns_may_be_cold_until_a_list_tells) {
  endpoint_warmth it;
  it.list_covers(6);
  it.given_back("z", 7, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(100)));
  EXPECT_FALSE(it.may_be_cold("b", "other", warmup, start));
  it.list_covers(6);
  EXPECT_TRUE(may_be_cold(it, milliseconds(200)));
  it.list_covers(7);
  EXPECT_FALSE(may_be_cold(it, milliseconds(200)));
  // An older list that arrives late.
  it.list_covers(6);
  EXPECT_FALSE(may_be_cold(it, milliseconds(200)));
}

TEST(endpoint_warmth_test, without_a_list_it_is_warm_after_its_time) {
  endpoint_warmth it;
  it.given_back("z", 7, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(2999)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(3000)));
  it.given_back("z", 9, start + milliseconds(5000));
  EXPECT_TRUE(may_be_cold(it, milliseconds(5000)));
}

TEST(endpoint_warmth_test, a_list_that_covers_the_return_is_believed) {
  endpoint_warmth it;
  it.given_back("z", 7, start);
  it.list_covers(7);
  it.told("a", milliseconds(1200), warmth_source::list, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(1200)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(1201)));
}

}  // namespace
}  // namespace trestlepost::routing

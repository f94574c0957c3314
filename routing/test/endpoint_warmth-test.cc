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

TEST(endpoint_warmth_test, a_cold_endpoint_is_warm_after_the_reported_time) {
  endpoint_warmth it;
  it.record_cold("a", milliseconds(500), warmth_source::list, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(500)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(501)));
  EXPECT_FALSE(it.may_be_cold("b", "z", warmup, start));
}

TEST(endpoint_warmth_test,
     a_zone_may_be_cold_after_evacuation_until_a_list_covers_it) {
  endpoint_warmth it;
  it.set_list_revision(6);
  it.record_evacuation_end("z", 7, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(100)));
  EXPECT_FALSE(it.may_be_cold("b", "other", warmup, start));
  it.set_list_revision(6);
  EXPECT_TRUE(may_be_cold(it, milliseconds(200)));
  it.set_list_revision(7);
  EXPECT_FALSE(may_be_cold(it, milliseconds(200)));
  // An older list that arrives late.
  it.set_list_revision(6);
  EXPECT_FALSE(may_be_cold(it, milliseconds(200)));
}

TEST(endpoint_warmth_test,
     without_a_list_a_zone_is_warm_after_the_warmup_time) {
  endpoint_warmth it;
  it.record_evacuation_end("z", 7, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(2999)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(3000)));
  it.record_evacuation_end("z", 9, start + milliseconds(5000));
  EXPECT_TRUE(may_be_cold(it, milliseconds(5000)));
}

TEST(endpoint_warmth_test, a_list_that_covers_the_evacuation_end_decides) {
  endpoint_warmth it;
  it.record_evacuation_end("z", 7, start);
  it.set_list_revision(7);
  it.record_cold("a", milliseconds(1200), warmth_source::list, start);
  EXPECT_TRUE(may_be_cold(it, milliseconds(1200)));
  EXPECT_FALSE(may_be_cold(it, milliseconds(1201)));
}

}  // namespace
}  // namespace trestlepost::routing

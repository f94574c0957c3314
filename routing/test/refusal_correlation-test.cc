// Tests which losses of endpoints are not attributed to requests.
#include "trestlepost/routing/refusal_correlation.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

constexpr monotonic_time start{milliseconds(100'000)};

// A gateway that is partitioned from all endpoints took each for crashed, and
// requests that ran there were held.
TEST(refusal_correlation_test, unrelated_requests_at_several_endpoints) {
  refusal_correlation it;
  it.record("s", "a", {"r1", "r2"}, start);
  EXPECT_FALSE(it.is_common_loss("s", start));
  it.record("s", "b", {"r3"}, start + milliseconds(10));
  EXPECT_TRUE(it.is_common_loss("s", start + milliseconds(10)));
  EXPECT_FALSE(it.is_common_loss("t", start + milliseconds(10)));
}

TEST(refusal_correlation_test, one_request_at_several_endpoints_is_suspect) {
  refusal_correlation it;
  it.record("s", "a", {"r1", "r2"}, start);
  it.record("s", "b", {"r2", "r3"}, start + milliseconds(10));
  EXPECT_FALSE(it.is_common_loss("s", start + milliseconds(10)));
}

TEST(refusal_correlation_test, losses_one_after_the_other_are_unrelated) {
  refusal_correlation it;
  it.record("s", "a", {"r1"}, start);
  const monotonic_time later = start + milliseconds(600);
  it.record("s", "b", {"r2"}, later);
  EXPECT_FALSE(it.is_common_loss("s", later));
  it.remove_expired(later + milliseconds(600));
  EXPECT_FALSE(it.is_common_loss("s", later + milliseconds(600)));
}

}  // namespace
}  // namespace trestlepost::routing

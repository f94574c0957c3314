// Tests when a revision counts as settled.
#include "settled_revision.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

TEST(settled_revision_test, revision_settles_after_settle_time) {
  const monotonic_time start{std::chrono::hours(1)};
  settled_revision it(milliseconds(800));
  EXPECT_EQ(it.newest_settled(start), 0U);
  EXPECT_EQ(it.first(), 0U);
  it.record(0, start);
  it.record(3, start);
  it.record(3, start + milliseconds(500));
  it.record(5, start + milliseconds(600));
  EXPECT_EQ(it.newest_settled(start + milliseconds(799)), 0U);
  EXPECT_EQ(it.newest_settled(start + milliseconds(800)), 3U);
  EXPECT_EQ(it.newest_settled(start + milliseconds(1399)), 3U);
  EXPECT_EQ(it.newest_settled(start + milliseconds(1400)), 5U);
  it.record(5, start + milliseconds(1500));
  EXPECT_EQ(it.newest_settled(start + milliseconds(9000)), 5U);
  EXPECT_EQ(it.first(), 3U);
}

}  // namespace
}  // namespace trestlepost::node

// Tests which holds and releases are reported between revisions.
#include "trestlepost/config/hold_tracker.h"

#include <gtest/gtest.h>

namespace trestlepost::config {
namespace {

using names = std::vector<std::string>;

TEST(hold_tracker_test, each_hold_and_release_is_reported_once) {
  object_store store;
  hold_tracker it;
  store.set_hold({"a", true, "model", ""}, {}, 1);
  store.set_hold({"b", true, "model", ""}, {}, 1);
  store.set_revision(1);
  EXPECT_EQ(it.update(store).held, (names{"a", "b"}));
  EXPECT_TRUE(it.update(store).held.empty());
  store.set_hold({"a", false, "", ""}, {}, 2);
  store.set_hold({"c", true, "model", ""}, {}, 2);
  store.set_revision(2);
  const hold_changes next = it.update(store);
  EXPECT_EQ(next.held, (names{"c"}));
  EXPECT_EQ(next.released, (names{"a"}));
  EXPECT_TRUE(it.update(store).released.empty());
}

}  // namespace
}  // namespace trestlepost::config

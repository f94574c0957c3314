// Tests which path to a watcher of the configuration is used.
//
// Guards against a change that reaches a watcher seconds late when all open
// connections stall at once; two gateways received one 5.1 s after its
// acknowledgement, 2.2 s after all others. The first copy is lost with its
// connection. When the loss is detected, the last direct poll is over 1 s old,
// so the next copy was sent only through a relaying node, over a stalled
// connection too, and counted as in flight for 4 s. The reopened direct
// connection would have worked, so after a loss all paths have to be used.
#include "watcher_paths.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using path = watcher_paths::path;
using paths = std::vector<path>;

monotonic_time at(int ms) {
  return monotonic_time(milliseconds(10'000 + ms));
}

TEST(watcher_paths_test, direct_path_is_used_after_direct_poll) {
  watcher_paths it(at(0));
  it.record_poll("w", "relay", at(0));
  EXPECT_FALSE(it.is_known(at(0)));
  it.record_poll("w", "", at(100));
  EXPECT_TRUE(it.is_known(at(100)));
  EXPECT_EQ(it.preferred(at(1000)), path::direct);
  it.record_poll("w", "relay", at(1050));
  EXPECT_EQ(it.preferred(at(1200)), path::relayed);
}

TEST(watcher_paths_test, direct_path_is_used_without_relay) {
  watcher_paths it(at(0));
  it.record_poll("w", "", at(0));
  EXPECT_EQ(it.preferred(at(60'000)), path::direct);
}

TEST(watcher_paths_test, both_paths_are_used_after_connection_loss) {
  watcher_paths it(at(0));
  it.record_poll("w", "", at(0));
  it.record_poll("w", "relay", at(1500));
  // The loss is detected 2 s after the last direct poll.
  EXPECT_EQ(it.after_loss("w", at(2000)), (paths{path::direct, path::relayed}));
  EXPECT_EQ(it.after_loss("relay", at(2000)),
            (paths{path::direct, path::relayed}));
  EXPECT_EQ(it.after_loss("another", at(2000)), paths{});
}

TEST(watcher_paths_test, lost_messages_use_all_paths) {
  watcher_paths it(at(0));
  it.record_poll("w", "", at(0));
  EXPECT_EQ(it.candidates(at(500)), paths{path::direct});
  it.record_poll("w", "relay", at(1500));
  EXPECT_EQ(it.candidates(at(1500)), (paths{path::direct, path::relayed}));
}

TEST(watcher_paths_test, relay_is_not_used_with_recent_direct_poll) {
  watcher_paths it(at(0));
  it.record_poll("w", "relay", at(0));
  it.record_poll("w", "", at(500));
  EXPECT_EQ(it.after_loss("w", at(600)), paths{path::direct});
  EXPECT_EQ(it.after_loss("relay", at(600)), paths{});
}

}  // namespace
}  // namespace trestlepost::node

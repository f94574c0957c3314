// Tests which path to a watcher of the configuration is used.
//
// Guards against a change that reaches a watcher seconds late (5.1 s after its
// acknowledgement, 2.2 s after all other watchers) when all open connections
// stall at once: the first copy is lost with its connection; when the loss is
// detected, the last direct poll is over 1 s old, so the next copy was sent
// only through a relaying node, over a stalled connection too, and counted as
// in flight for 4 s. The reopened direct connection would have worked, so after
// a loss all paths have to be used.
#include "watcher_paths.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;
using way = watcher_ways::way;
using ways = std::vector<way>;

monotonic_time at(int ms) {
  return monotonic_time(milliseconds(10'000 + ms));
}

TEST(watcher_ways_test, one_that_polls_itself_is_written_to_directly) {
  watcher_ways it(at(0));
  it.polled("w", "relay", at(0));
  EXPECT_FALSE(it.known(at(0)));
  it.polled("w", "", at(100));
  EXPECT_TRUE(it.known(at(100)));
  EXPECT_EQ(it.best(at(1000)), way::direct);
  it.polled("w", "relay", at(1050));
  EXPECT_EQ(it.best(at(1200)), way::passed_on);
}

TEST(watcher_ways_test, without_another_node_it_is_written_to_directly) {
  watcher_ways it(at(0));
  it.polled("w", "", at(0));
  EXPECT_EQ(it.best(at(60'000)), way::direct);
}

TEST(watcher_ways_test, a_lost_connection_is_replaced_by_both_ways) {
  watcher_ways it(at(0));
  it.polled("w", "", at(0));
  it.polled("w", "relay", at(1500));
  // The loss is detected 2 s after the last direct poll.
  EXPECT_EQ(it.after_loss("w", at(2000)), (ways{way::direct, way::passed_on}));
  EXPECT_EQ(it.after_loss("relay", at(2000)),
            (ways{way::direct, way::passed_on}));
  EXPECT_EQ(it.after_loss("another", at(2000)), ways{});
}

TEST(watcher_ways_test, what_was_lost_goes_by_all_ways) {
  watcher_ways it(at(0));
  it.polled("w", "", at(0));
  EXPECT_EQ(it.all(at(500)), ways{way::direct});
  it.polled("w", "relay", at(1500));
  EXPECT_EQ(it.all(at(1500)), (ways{way::direct, way::passed_on}));
}

TEST(watcher_ways_test, one_that_is_heard_directly_is_not_sent_more) {
  watcher_ways it(at(0));
  it.polled("w", "relay", at(0));
  it.polled("w", "", at(500));
  EXPECT_EQ(it.after_loss("w", at(600)), ways{way::direct});
  EXPECT_EQ(it.after_loss("relay", at(600)), ways{});
}

}  // namespace
}  // namespace trestlepost::node

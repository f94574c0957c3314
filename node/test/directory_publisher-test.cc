// Tests that entries of the node directory are encoded once for many nodes.
#include "control/directory_publisher.h"

#include <gtest/gtest.h>

#include <set>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t term = 3;
constexpr std::size_t region_size = 100;
const std::string region = "north";
const monotonic_time start{std::chrono::hours(1)};
// Longer than the time between two rounds of `region_size` entries.
constexpr milliseconds round{200};

membership::node_info node(std::size_t n) {
  membership::node_info out;
  out.name = "node-" + std::to_string(n);
  out.region = region;
  out.incarnation = 1;
  return out;
}

struct leader {
  node_directory directory;
  directory_publisher publisher{directory};

  const directory_publisher::published* changes_for(
      const directory_position& known, monotonic_time now) {
    return publisher.changes_for(known, term, region, now);
  }
};

// Guards against a leader that encodes all entries of a region for each node
// that starts: when all start at once, each of them is a new entry, and the
// work grows with the square of their number.
TEST(directory_publisher_test, nodes_that_start_together_share_messages) {
  leader it;
  std::set<std::shared_ptr<const std::string>> encoded;
  std::size_t sent = 0;
  for (std::size_t n = 0; n < region_size; ++n) {
    it.directory.record(node(n));
    const directory_publisher::published* changes =
        it.changes_for({}, start + milliseconds(n));
    if (changes == nullptr) continue;
    ++sent;
    encoded.insert(changes->message.payload);
  }
  EXPECT_GT(sent, region_size / 2);
  EXPECT_LT(encoded.size(), region_size / 5);
}

TEST(directory_publisher_test, each_node_gets_all_entries_within_a_round) {
  leader it;
  for (std::size_t n = 0; n < region_size; ++n) it.directory.record(node(n));
  const directory_publisher::published* first = it.changes_for({}, start);
  ASSERT_NE(first, nullptr);
  EXPECT_EQ(first->entries, region_size);
  it.directory.record(node(region_size));
  const directory_position known{term, region_size};
  EXPECT_EQ(it.changes_for(known, start + milliseconds(1)), nullptr);
  const directory_publisher::published* later =
      it.changes_for(known, start + round);
  ASSERT_NE(later, nullptr);
  EXPECT_EQ(later->entries, 1U);
  EXPECT_EQ(it.changes_for({term, region_size + 1}, start + 2 * round),
            nullptr);
}

// Guards against entries that a node never gets because its position is that of
// an earlier leader.
TEST(directory_publisher_test, positions_of_other_terms_start_from_nothing) {
  leader it;
  it.directory.record(node(1));
  const directory_publisher::published* changes =
      it.changes_for({term - 1, 1}, start);
  ASSERT_NE(changes, nullptr);
  EXPECT_EQ(changes->entries, 1U);
  const directory_publisher::published* of_next_term =
      it.publisher.changes_for({term, 1}, term + 1, region, start);
  ASSERT_NE(of_next_term, nullptr);
}

}  // namespace
}  // namespace trestlepost::node

// Sharing, ordering, overflow and expiry of the fair queue.
#include "trestlepost/routing/fair_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "trestlepost/base/random.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

queued_request make(std::uint64_t id, const std::string& caller,
                    int priority = 0, int deadline_ms = 1000,
                    unsigned share = 1) {
  return {id, caller, share, priority,
          monotonic_time(milliseconds(deadline_ms))};
}

TEST(fair_queue_test, a_greedy_caller_does_not_starve_the_others) {
  fair_queue queue(1000);
  std::uint64_t id = 0;
  for (int i = 0; i < 100; ++i) queue.push(make(id++, "greedy"));
  for (int i = 0; i < 10; ++i) queue.push(make(1000 + id++, "modest"));
  int modest = 0;
  for (int i = 0; i < 20; ++i) modest += *queue.pop() >= 1000 ? 1 : 0;
  EXPECT_EQ(modest, 10);
}

TEST(fair_queue_test, callers_are_served_by_share) {
  fair_queue queue(1000);
  for (std::uint64_t i = 0; i < 90; ++i) {
    queue.push(make(i, "one", 0, 1000, 1));
    queue.push(make(1000 + i, "three", 0, 1000, 3));
  }
  int three = 0;
  for (int i = 0; i < 80; ++i) three += *queue.pop() >= 1000 ? 1 : 0;
  EXPECT_NEAR(three, 60, 2);
}

TEST(fair_queue_test,
     requests_of_a_caller_are_ordered_by_priority_then_deadline) {
  fair_queue queue(10);
  queue.push(make(1, "c", 0, 500));
  queue.push(make(2, "c", 0, 100));
  queue.push(make(3, "c", 5, 900));
  EXPECT_EQ(queue.pop(), 3U);
  EXPECT_EQ(queue.pop(), 2U);
  EXPECT_EQ(queue.pop(), 1U);
  EXPECT_FALSE(queue.pop());
}

TEST(fair_queue_test, a_full_queue_drops_from_the_heaviest_caller) {
  fair_queue queue(4);
  for (std::uint64_t i = 0; i < 4; ++i) queue.push(make(i, "greedy"));
  const std::optional<std::uint64_t> out = queue.push(make(9, "modest"));
  ASSERT_TRUE(out);
  EXPECT_EQ(*out, 3U);
  EXPECT_EQ(queue.queued_count("modest"), 1U);
}

TEST(fair_queue_test, expired_requests_are_removed) {
  fair_queue queue(10);
  queue.push(make(1, "c", 0, 100));
  queue.push(make(2, "c", 0, 200));
  const std::vector<std::uint64_t> late =
      queue.remove_expired(monotonic_time(milliseconds(150)));
  EXPECT_EQ(late, std::vector<std::uint64_t>{1});
  EXPECT_EQ(queue.size(), 1U);
}

RC_GTEST_PROP(fair_queue_property, every_request_leaves_the_queue_exactly_once,
              (std::uint64_t seed)) {
  seeded_random random(seed);
  fair_queue queue(8);
  std::map<std::uint64_t, int> left;
  std::uint64_t next = 1;
  for (int i = 0; i < 200; ++i) {
    if (random.below(3) != 0) {
      const std::string caller = "c" + std::to_string(random.below(4));
      left[next] = 0;
      const std::optional<std::uint64_t> out =
          queue.push(make(next, caller, static_cast<int>(random.below(3)),
                          static_cast<int>(random.below(1000)),
                          1 + static_cast<unsigned>(random.below(3))));
      ++next;
      if (out) ++left[*out];
    } else {
      const std::optional<std::uint64_t> out = queue.pop();
      if (out) ++left[*out];
    }
    RC_ASSERT(queue.size() <= 8U);
  }
  while (true) {
    const std::optional<std::uint64_t> out = queue.pop();
    if (!out) break;
    ++left[*out];
  }
  for (const auto& [id, n] : left) RC_ASSERT(n == 1);
}

}  // namespace
}  // namespace trestlepost::routing

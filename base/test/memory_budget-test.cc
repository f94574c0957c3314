// Tests of the budget that all memory held for others is paid out of.
#include "trestlepost/base/memory_budget.h"

#include <gtest/gtest.h>

#include <deque>
#include <optional>

namespace trestlepost {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t megabyte = 1024UL * 1024;
constexpr std::size_t process_limit = 160 * megabyte;
constexpr std::size_t large = 4 * megabyte;
constexpr std::size_t small = 64UL * 1024;

monotonic_time at(int ms) {
  return monotonic_time(milliseconds(ms));
}

class memory_budget_test : public testing::Test {
 protected:
  /// Takes shares of `bytes` until one is refused.
  void fill(std::size_t bytes, memory_use use) {
    while (true) {
      memory_share& it = shares_.emplace_back(budget_);
      if (!it.grow_to(bytes, use, at(0))) return;
    }
  }

  std::shared_ptr<memory_budget> budget_ =
      std::make_shared<memory_budget>(process_limit);
  std::deque<memory_share> shares_;
};

/// A body that is being read.
class incoming final : public reclaimable_memory {
 public:
  incoming(const std::shared_ptr<memory_budget>& all, monotonic_time progress)
      : budget(all), share(all), progress_(progress) {
    budget->add_reclaimable(*this);
  }
  ~incoming() override { budget->remove_reclaimable(*this); }
  monotonic_time last_progress() const override { return progress_; }
  void reclaim() override { share.clear(); }

  std::shared_ptr<memory_budget> budget;
  memory_share share;

 private:
  monotonic_time progress_;
};

// Small bodies were not counted, so that any number of them could be held.
TEST_F(memory_budget_test, small_shares_are_bounded_together) {
  fill(small, memory_use::request);
  EXPECT_LE(budget_->held(), budget_->capacity());
  EXPECT_LT(budget_->capacity(), process_limit);
  EXPECT_EQ(budget_->refused(), 1U);
}

TEST_F(memory_budget_test, large_requests_leave_room_for_small_ones) {
  fill(large, memory_use::request);
  memory_share it(budget_);
  EXPECT_TRUE(it.grow_to(small, memory_use::request, at(0)));
}

// Thousands of bodies of 64 KB kept out requests that need hardly any memory.
TEST_F(memory_budget_test, small_bodies_leave_room_for_requests_without_one) {
  constexpr int requests = 100;
  constexpr std::size_t bytes = 24UL * 1024;
  fill(small, memory_use::request);
  for (int n = 0; n < requests; ++n) {
    memory_share& it = shares_.emplace_back(budget_);
    EXPECT_TRUE(it.grow_to(bytes, memory_use::request, at(0))) << n;
  }
}

// Answers for slow callers kept all others out.
TEST_F(memory_budget_test, answers_leave_room_for_small_requests) {
  fill(large, memory_use::answer);
  fill(small, memory_use::answer);
  memory_share it(budget_);
  EXPECT_TRUE(it.grow_to(small, memory_use::request, at(0)));
}

TEST_F(memory_budget_test, requests_leave_room_for_what_is_essential) {
  fill(large, memory_use::request);
  fill(small, memory_use::request);
  memory_share it(budget_);
  EXPECT_TRUE(it.grow_to(small, memory_use::essential, at(0)));
}

TEST_F(memory_budget_test, the_largest_request_is_held_alone) {
  const std::size_t most = budget_->capacity() * 3 / 4;
  {
    memory_share it(budget_);
    EXPECT_TRUE(it.grow_to(most, memory_use::request, at(0)));
    memory_share other(budget_);
    EXPECT_FALSE(other.grow_to(large, memory_use::request, at(0)));
  }
  memory_share first(budget_);
  EXPECT_TRUE(first.grow_to(large, memory_use::request, at(0)));
  memory_share it(budget_);
  EXPECT_FALSE(it.grow_to(most, memory_use::request, at(0)));
}

TEST_F(memory_budget_test, what_the_process_uses_itself_is_not_given_away) {
  const std::size_t before = budget_->capacity();
  budget_->set_other_use(80 * megabyte);
  EXPECT_EQ(budget_->capacity(), before - 80 * megabyte);
  // A process that needs all of its memory still serves some requests.
  budget_->set_other_use(2 * process_limit);
  EXPECT_GT(budget_->capacity(), 8 * large);
}

TEST_F(memory_budget_test, a_share_that_grows_is_charged_once) {
  {
    memory_share it(budget_);
    EXPECT_TRUE(it.grow_to(small, memory_use::request, at(0)));
    EXPECT_TRUE(it.grow_to(large, memory_use::request, at(0)));
    EXPECT_TRUE(it.grow_to(small, memory_use::request, at(0)));
    EXPECT_EQ(budget_->held(), large);
    const memory_share moved = std::move(it);
    EXPECT_EQ(budget_->held(), large);
  }
  EXPECT_EQ(budget_->held(), 0U);
}

// Callers whose bodies stop before their end kept others out for 30 s.
TEST_F(memory_budget_test, bodies_that_stall_lose_their_memory_first) {
  std::deque<incoming> bodies;
  for (int n = 0; n == 0 || bodies.back().share.bytes() > 0; ++n) {
    // The first ones have made no progress for longest.
    bodies.emplace_back(budget_, at(n));
    (void)bodies.back().share.grow_to(large, memory_use::request, at(n));
  }
  memory_share it(budget_);
  EXPECT_FALSE(it.grow_to(large, memory_use::request, at(400)));
  EXPECT_TRUE(it.grow_to(large, memory_use::request, at(600)));
  EXPECT_EQ(bodies[0].share.bytes(), 0U);
  EXPECT_EQ(bodies[1].share.bytes(), large);
  EXPECT_EQ(budget_->reclaimed(), 1U);
}

TEST(memory_share_test, there_is_no_limit_without_a_budget) {
  memory_share it(nullptr);
  EXPECT_TRUE(it.grow_to(1000 * process_limit, memory_use::request, at(0)));
}

}  // namespace
}  // namespace trestlepost

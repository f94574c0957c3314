#include "trestlepost/transport/body_memory.h"

#include <gtest/gtest.h>

#include <optional>

namespace trestlepost::transport {
namespace {

constexpr std::size_t max_bytes = body_memory::max_bytes;
constexpr std::size_t free_bytes = body_memory::free_bytes;

// Large bodies that arrived at once took a gateway over its memory limit.
TEST(body_memory_test, large_bodies_stay_within_the_limit) {
  const std::shared_ptr<body_memory> all = std::make_shared<body_memory>();
  std::optional<body_memory::share> first(all);
  body_memory::share second(all);
  EXPECT_TRUE(first->grow_to(max_bytes - free_bytes));
  EXPECT_FALSE(second.grow_to(2 * free_bytes));
  EXPECT_TRUE(second.grow_to(free_bytes));
  first.reset();
  EXPECT_TRUE(second.grow_to(2 * free_bytes));
  second.clear();
  body_memory::share third(all);
  EXPECT_TRUE(third.grow_to(max_bytes));
  EXPECT_FALSE(third.grow_to(max_bytes + 1));
  EXPECT_TRUE(third.grow_to(max_bytes));
}

TEST(body_memory_test, there_is_no_limit_without_memory_to_share) {
  body_memory::share it(nullptr);
  EXPECT_TRUE(it.grow_to(10 * max_bytes));
}

}  // namespace
}  // namespace trestlepost::transport

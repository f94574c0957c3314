// The memory that plain answers share.
#include "trestlepost/gateway/answer_memory.h"

#include <gtest/gtest.h>

#include <optional>

namespace trestlepost::gateway {
namespace {

constexpr std::size_t megabyte = 1024UL * 1024;

TEST(answer_memory_test, large_answers_leave_room_for_small_ones) {
  answer_memory all;
  std::optional<answer_memory::share> large(all);
  EXPECT_TRUE(large->grow_to(16 * megabyte));
  answer_memory::share other(all);
  EXPECT_FALSE(other.grow_to(16 * megabyte));
  EXPECT_TRUE(other.grow_to(1000));
  large.reset();
  EXPECT_TRUE(other.grow_to(16 * megabyte));
}

TEST(answer_memory_test, an_answer_that_grows_is_charged_once) {
  answer_memory all;
  for (int n = 0; n < 100; ++n) {
    answer_memory::share it(all);
    for (std::size_t bytes = 0; bytes <= 16 * megabyte; bytes += megabyte)
      EXPECT_TRUE(it.grow_to(bytes));
  }
}

}  // namespace
}  // namespace trestlepost::gateway

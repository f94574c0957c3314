// Tests of the JSON encoding of cached prompt prefixes.
#include "trestlepost/membership/cached_prefix.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

TEST(cached_prefix_test, a_list_is_read_as_it_was_written) {
  const std::vector<cached_prefix> told{
      {"i-1", {{0xffffffffffffffffULL, 4870}, {2, 1}}}, {"i-2", {{3, 512}}}};
  EXPECT_EQ(cached_prefixes_from(to_json(told)), told);
}

TEST(cached_prefix_test, what_is_no_prefix_is_left_out) {
  const char* const table[] = {"null",
                               "7",
                               "{}",
                               "[7]",
                               "[[]]",
                               "[[\"i-1\"]]",
                               "[[1, 2, 3]]",
                               "[[\"i-1\", 5]]",
                               "[\"i-1\"]",
                               "[[\"i-1\", \"5\", 6]]",
                               "[[\"i-1\", 5, -6]]"};
  for (const char* text : table) {
    const result<json> value = parse_json(text);
    ASSERT_TRUE(value) << text;
    EXPECT_TRUE(cached_prefixes_from(*value).empty()) << text;
  }
}

TEST(cached_prefix_test, a_damaged_section_ends_the_prefix) {
  const result<json> value = parse_json("[[\"i-1\", 5, 6, \"x\", 7, 8, 9]]");
  ASSERT_TRUE(value);
  const std::vector<cached_prefix> expected{{"i-1", {{5, 6}}}};
  EXPECT_EQ(cached_prefixes_from(*value), expected);
}

}  // namespace
}  // namespace trestlepost::membership

#include "trestlepost/membership/limit_statement.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

TEST(limit_statement_test, limits_are_read_back) {
  const limit_statements all{{"e1", {0.4, milliseconds(20)}},
                             {"e2", {std::nullopt, milliseconds(3000)}}};
  EXPECT_EQ(limit_statements_from(to_json(all)), all);
}

TEST(limit_statement_test, invalid_entries_are_skipped) {
  for (const char* text :
       {R"({"e": 1})", R"({"e": [-1, 0]})", R"({"e": ["1", 0]})",
        R"({"e": [1, -1]})", R"({"e": [1, 99999999999]})", R"([1])"}) {
    const result<json> value = parse_json(text);
    ASSERT_TRUE(value) << text;
    EXPECT_TRUE(limit_statements_from(*value).empty()) << text;
  }
}

TEST(limit_statement_test, merging_keeps_the_latest_statement) {
  limit_statements all{{"e1", {1.0, milliseconds(500)}}};
  merge(all, {{"e1", {std::nullopt, milliseconds(100)}}}, milliseconds(600));
  EXPECT_EQ(all["e1"].per_second, 1.0);
  merge(all, {{"e1", {std::nullopt, milliseconds(100)}}}, milliseconds(300));
  EXPECT_EQ(all["e1"], (limit_statement{std::nullopt, milliseconds(400)}));
}

}  // namespace
}  // namespace trestlepost::membership

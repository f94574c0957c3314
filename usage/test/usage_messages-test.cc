// Tests that messages about usage survive the wire, and that malformed ones are
// read without a failure.
#include "trestlepost/usage/usage_messages.h"

#include <gtest/gtest.h>

namespace trestlepost::usage {
namespace {

TEST(usage_messages_test, messages_survive_the_wire) {
  const usage_report report{
      "g-1", 3, 17, {{"a", {1e12, 36'000}}}, {{"b", {-7, 9}}}};
  EXPECT_EQ(usage_report_from(to_json(report)), report);
  const usage_reply reply{"c-1", 3, 17, true, 0.5, {{"a", {-200, 1e9}}}, true};
  EXPECT_EQ(usage_reply_from(to_json(reply)), reply);
  const region_usage sums{"north", "c-1", {{"a", {5, 4}}, {"b", {0, 0}}}, true};
  EXPECT_EQ(region_usage_from(to_json(sums)), sums);
}

TEST(usage_messages_test, malformed_rows_are_ignored) {
  json value = to_json(usage_report{"g", 1, 1, {{"a", {2, 1}}}, {}});
  value["counts"].append("b");
  value["counts"].append("text");
  value["counts"].append(1);
  value["counts"].append("truncated");
  EXPECT_EQ(usage_report_from(value).counts.size(), 1U);
  value["counts"] = "text";
  EXPECT_TRUE(usage_report_from(value).counts.empty());
  EXPECT_TRUE(usage_reply_from(value).levels.empty());
  EXPECT_TRUE(region_usage_from(json(1)).counts.empty());
}

}  // namespace
}  // namespace trestlepost::usage

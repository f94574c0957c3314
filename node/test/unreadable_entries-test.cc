#include "unreadable_entries.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

using surface::unreadable_entry;

TEST(unreadable_entries_test, each_cause_of_each_entry_is_logged_once) {
  unreadable_entries entries;
  const unreadable_entry first{"i-1", "state is unknown"};
  const unreadable_entry nameless{"", "it is not JSON in UTF-8"};
  EXPECT_EQ(entries.record({first, nameless}), 2U);
  EXPECT_EQ(entries.count(), 2U);
  EXPECT_EQ(entries.record({first, nameless}), 0U);
  EXPECT_EQ(entries.record({{"i-1", "slots is missing"}}), 1U);
  EXPECT_EQ(entries.count(), 1U);
  EXPECT_EQ(entries.record({}), 0U);
  EXPECT_EQ(entries.count(), 0U);
}

TEST(unreadable_entries_test, the_logged_entries_are_bounded) {
  unreadable_entries entries;
  std::vector<unreadable_entry> many;
  for (int i = 0; i < 1000; ++i) many.push_back({std::to_string(i), "odd"});
  EXPECT_EQ(entries.record(many), 1000U);
  EXPECT_EQ(entries.record({many.front()}), 1U);
}

}  // namespace
}  // namespace trestlepost::node

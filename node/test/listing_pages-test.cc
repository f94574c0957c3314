#include "listing_pages.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

const std::vector<std::string> whole{""};

TEST(listing_pages_test, the_first_reading_is_whole) {
  EXPECT_EQ(zones_to_read({}), whole);
}

TEST(listing_pages_test, a_list_of_one_page_is_read_whole) {
  EXPECT_EQ(zones_to_read({1, 15, {{"a", 5}}}), whole);
}

TEST(listing_pages_test, zones_are_read_where_that_takes_fewer_calls) {
  const std::vector<std::string> both{"a", "b"};
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 19}, {"b", 19}}}), both);
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 51}, {"b", 19}}}), whole);
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 19}, {"b", 0}, {"c", 0}}}), whole);
}

TEST(listing_pages_test, a_name_that_needs_escapes_is_not_asked_for) {
  EXPECT_EQ(zones_to_read({3, 50, {{"a&b", 19}}}), whole);
}

}  // namespace
}  // namespace trestlepost::node

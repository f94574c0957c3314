#include "endpoint_list_pages.h"

#include <gtest/gtest.h>

namespace trestlepost::node {
namespace {

const std::vector<std::string> full_list{""};

TEST(endpoint_list_pages_test, the_first_read_is_full) {
  EXPECT_EQ(zones_to_read({}), full_list);
}

TEST(endpoint_list_pages_test, a_list_of_one_page_is_read_in_full) {
  EXPECT_EQ(zones_to_read({1, 15, {{"a", 5}}}), full_list);
}

TEST(endpoint_list_pages_test, zones_are_read_when_that_takes_fewer_calls) {
  const std::vector<std::string> both{"a", "b"};
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 19}, {"b", 19}}}), both);
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 51}, {"b", 19}}}), full_list);
  EXPECT_EQ(zones_to_read({3, 50, {{"a", 19}, {"b", 0}, {"c", 0}}}), full_list);
}

TEST(endpoint_list_pages_test,
     zones_with_names_that_need_escaping_are_not_read) {
  EXPECT_EQ(zones_to_read({3, 50, {{"a&b", 19}}}), full_list);
}

}  // namespace
}  // namespace trestlepost::node

// Tests reading the elements of a list from valid and malformed JSON documents.
#include "trestlepost/base/json_elements.h"

#include <gtest/gtest.h>

namespace trestlepost {
namespace {

/// Concatenates the ids of the elements, with "?" for each unreadable one.
std::string ids_of(std::string_view text) {
  const result<json_elements> read = read_elements(text, "list", "id");
  if (!read) return "no list";
  std::string out;
  for (const result<json>& it : read->items) {
    out += it ? text_of(*it, "id") : "?";
  }
  return out;
}

TEST(json_elements_test, reads_a_valid_document) {
  const result<json_elements> read =
      read_elements(R"({"next":"n","list":[{"id":"a"},7]})", "list", "id");
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->well_formed);
  EXPECT_EQ(read->items.size(), 2U);
  EXPECT_EQ(text_of(read->other_members, "next"), "n");
  EXPECT_FALSE(read_elements(R"({"list":1})", "list", "id"));
  EXPECT_FALSE(read_elements("[]", "list", "id"));
  EXPECT_FALSE(read_elements("", "list", "id"));
}

TEST(json_elements_test, finds_readable_elements_among_unreadable_ones) {
  EXPECT_EQ(ids_of(R"({"list":[{"id":"a"},{"id":},{"id":"c"}]})"), "a?c");
  EXPECT_EQ(ids_of(R"({"list":[{"id":"a",{"id":"b"},{"id":"c"}]})"), "?bc");
  EXPECT_EQ(ids_of(R"({"list":[{"id":"a"},{"id":"b,{"id":"c"}]})"), "a?c");
  EXPECT_EQ(ids_of(R"({"list":[{"id":"a"}},{"id":"c"}]})"), "?c");
}

TEST(json_elements_test, ignores_objects_nested_in_an_unreadable_one) {
  EXPECT_EQ(ids_of(R"({"list":[{"x":{"id":"a"},"y":},{"id":"b"}]})"), "?b");
}

TEST(json_elements_test, finds_a_member_after_an_unreadable_list) {
  const result<json> next =
      find_string_member(R"({"list":[{,"next":"p-2"})", "next");
  ASSERT_TRUE(next);
  EXPECT_EQ(next->asString(), "p-2");
  const result<json> none =
      find_string_member(R"({"list":[{,"next": null})", "next");
  ASSERT_TRUE(none);
  EXPECT_TRUE(none->isNull());
  EXPECT_FALSE(find_string_member(R"({"next":4)", "next"));
  EXPECT_FALSE(find_string_member(R"({"next":"p)", "next"));
  EXPECT_FALSE(find_string_member("{}", "next"));
}

}  // namespace
}  // namespace trestlepost

#include "trestlepost/base/json_elements.h"

#include <gtest/gtest.h>

namespace trestlepost {
namespace {

/// Concatenates the ids of the elements, with "?" for each unreadable one.
std::string marks_of(std::string_view text) {
  const result<json_elements> read = read_elements(text, "list", "id");
  if (!read) return "no list";
  std::string out;
  for (const result<json>& it : read->items) {
    out += it ? text_of(*it, "id") : "?";
  }
  return out;
}

TEST(json_elements_test, a_document_that_is_json_is_read_whole) {
  const result<json_elements> read =
      read_elements(R"({"next":"n","list":[{"id":"a"},7]})", "list", "id");
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->whole);
  EXPECT_EQ(read->items.size(), 2U);
  EXPECT_EQ(text_of(read->rest, "next"), "n");
  EXPECT_FALSE(read_elements(R"({"list":1})", "list", "id"));
  EXPECT_FALSE(read_elements("[]", "list", "id"));
  EXPECT_FALSE(read_elements("", "list", "id"));
}

TEST(json_elements_test, readable_elements_beside_unreadable_ones_are_found) {
  EXPECT_EQ(marks_of(R"({"list":[{"id":"a"},{"id":},{"id":"c"}]})"), "a?c");
  EXPECT_EQ(marks_of(R"({"list":[{"id":"a",{"id":"b"},{"id":"c"}]})"), "?bc");
  EXPECT_EQ(marks_of(R"({"list":[{"id":"a"},{"id":"b,{"id":"c"}]})"), "a?c");
  EXPECT_EQ(marks_of(R"({"list":[{"id":"a"}},{"id":"c"}]})"), "?c");
}

TEST(json_elements_test, objects_inside_of_an_unreadable_one_are_not_taken) {
  EXPECT_EQ(marks_of(R"({"list":[{"x":{"id":"a"},"y":},{"id":"b"}]})"), "?b");
}

TEST(json_elements_test, a_member_is_found_behind_an_unreadable_list) {
  const result<json> next =
      find_text_member(R"({"list":[{,"next":"p-2"})", "next");
  ASSERT_TRUE(next);
  EXPECT_EQ(next->asString(), "p-2");
  const result<json> none =
      find_text_member(R"({"list":[{,"next": null})", "next");
  ASSERT_TRUE(none);
  EXPECT_TRUE(none->isNull());
  EXPECT_FALSE(find_text_member(R"({"next":4)", "next"));
  EXPECT_FALSE(find_text_member(R"({"next":"p)", "next"));
  EXPECT_FALSE(find_text_member("{}", "next"));
}

}  // namespace
}  // namespace trestlepost

// Tests that the arena-based JSON parser reads every value type and is as
// strict as `parse_json`.
#include "trestlepost/base/json_document.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost {
namespace {

TEST(json_document_test, parses_every_value_type) {
  const result<json_document> it = json_document::parse(
      " {\"a\":[1,-2,2.5,18446744073709551615,true,null],\"b\":\"x\\u00e9\"} ");
  ASSERT_TRUE(it) << it.error().message;
  const boost::json::array& all = member_of(it->root(), "a").as_array();
  EXPECT_EQ(all[0].as_int64(), 1);
  EXPECT_EQ(all[1].as_int64(), -2);
  EXPECT_EQ(all[2].as_double(), 2.5);
  EXPECT_EQ(all[3].as_uint64(), UINT64_MAX);
  EXPECT_TRUE(all[4].as_bool());
  EXPECT_TRUE(all[5].is_null());
  EXPECT_EQ(member_of(it->root(), "b").as_string(), "x\xc3\xa9");
  EXPECT_TRUE(member_of(it->root(), "c").is_null());
  EXPECT_TRUE(member_of(all[0], "c").is_null());
}

TEST(json_document_test, rejects_invalid_documents) {
  const std::string deep(max_json_depth + 1, '[');
  for (const std::string& it :
       {std::string(), std::string("{"), std::string("{}x"),
        std::string("{\"a\":1,}"), std::string("{\"a\":1,\"a\":2}"),
        std::string("[{\"b\":{\"a\":1,\"a\":1}}]"), std::string("// c\n{}"),
        std::string("{\"a\":\"\xff\"}"), std::string("{\"a\":01}"),
        deep + std::string(max_json_depth + 1, ']')}) {
    const result<json_document> read = json_document::parse(it);
    ASSERT_FALSE(read) << it;
    EXPECT_EQ(read.error().kind, error_kind::bad_input) << it;
    EXPECT_FALSE(read.error().remedy.empty()) << it;
  }
}

TEST(json_document_test, rejects_truncated_documents) {
  const std::string text =
      "{\"routes\":[{\"name\":\"r\",\"n\":1.5e3},{}],\"limits\":{}}";
  for (std::size_t n = 0; n < text.size(); ++n) {
    EXPECT_FALSE(json_document::parse(text.substr(0, n))) << n;
  }
  EXPECT_TRUE(json_document::parse(text));
}

}  // namespace
}  // namespace trestlepost

// JSON form of request heads; invalid forwarded heads are refused.
#include "trestlepost/surface/call_head.h"

#include <gtest/gtest.h>

#include <vector>

namespace trestlepost::surface {
namespace {

call_head make_head() {
  call_head out;
  out.request_id = "9c41";
  out.host = "a.example";
  out.method = "POST";
  out.target = "/x/1?q=2";
  out.prompt.parts = {{0xffffffffffffffffULL, 512}, {7, 20}};
  out.prompt.prompt_tokens = 532;
  out.prompt.most_output_tokens = 80;
  out.prompt.expected_output_tokens = 40;
  out.resume_after = "12";
  out.passthrough_headers = {{"X-A", "1"}, {"X-B", "two, three"}};
  return out;
}

TEST(call_head_test, a_head_round_trips_through_json) {
  const call_head head = make_head();
  const result<call_head> read = call_head_from(to_json(head));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->request_id, head.request_id);
  EXPECT_EQ(read->host, head.host);
  EXPECT_EQ(read->target, head.target);
  EXPECT_EQ(read->prompt, head.prompt);
  EXPECT_EQ(read->resume_after, head.resume_after);
  EXPECT_EQ(read->passthrough_headers, head.passthrough_headers);
}

TEST(call_head_test, the_path_ends_at_the_query) {
  EXPECT_EQ(make_head().path(), "/x/1");
}

TEST(call_head_test, passthrough_headers_are_found_regardless_of_case) {
  EXPECT_EQ(make_head().passthrough_header("x-b"), "two, three");
  EXPECT_EQ(make_head().passthrough_header("X-C"), "");
}

TEST(call_head_test, an_incomplete_head_is_refused) {
  for (const char* key : {"request_id", "method", "target"}) {
    json value = to_json(make_head());
    value.removeMember(key);
    EXPECT_FALSE(call_head_from(value)) << key;
  }
}

struct headers_example {
  const char* what;
  const char* headers;
};

TEST(call_head_test, headers_that_are_not_pairs_of_strings_are_refused) {
  const std::vector<headers_example> table{
      {"no list", R"({"X-A":"1"})"},
      {"a text", R"("X-A")"},
      {"a number as the name", R"([1,"1"])"},
      {"a number as the value", R"(["X-A",1])"},
      {"an object as the value", R"(["X-A",{}])"},
      {"a list as the name", R"([[],"1"])"},
      {"null as the value", R"(["X-A",null])"},
      {"truncated in the second pair", R"(["X-A","1","X-B"])"},
      {"a valid pair, then an invalid one", R"(["X-A","1","X-B",[]])"},
  };
  for (const headers_example& it : table) {
    json value = to_json(make_head());
    value["headers"] = *parse_json(it.headers);
    const result<call_head> read = call_head_from(value);
    ASSERT_FALSE(read) << it.what;
    EXPECT_EQ(read.error().kind, error_kind::bad_input) << it.what;
    EXPECT_FALSE(read.error().remedy.empty()) << it.what;
  }
}

TEST(call_head_test, a_head_without_headers_has_none) {
  call_head bare = make_head();
  bare.passthrough_headers.clear();
  json value = to_json(bare);
  EXPECT_TRUE(call_head_from(value)->passthrough_headers.empty());
  value.removeMember("headers");
  EXPECT_TRUE(call_head_from(value)->passthrough_headers.empty());
}

}  // namespace
}  // namespace trestlepost::surface

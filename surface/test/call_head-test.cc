#include "trestlepost/surface/call_head.h"

#include <gtest/gtest.h>

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
  out.passed_on = {{"X-A", "1"}, {"X-B", "two, three"}};
  return out;
}

TEST(call_head_test, a_head_survives_its_json) {
  const call_head head = make_head();
  const result<call_head> read = call_head_from(to_json(head));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->request_id, head.request_id);
  EXPECT_EQ(read->host, head.host);
  EXPECT_EQ(read->target, head.target);
  EXPECT_EQ(read->prompt, head.prompt);
  EXPECT_EQ(read->resume_after, head.resume_after);
  EXPECT_EQ(read->passed_on, head.passed_on);
}

TEST(call_head_test, the_path_ends_at_the_query) {
  EXPECT_EQ(make_head().path(), "/x/1");
}

TEST(call_head_test, an_incomplete_head_is_refused) {
  for (const char* key : {"request_id", "method", "target"}) {
    json value = to_json(make_head());
    value.removeMember(key);
    EXPECT_FALSE(call_head_from(value)) << key;
  }
}

}  // namespace
}  // namespace trestlepost::surface

// Tests encoding of requests to endpoints and parsing of their answers.
#include <gtest/gtest.h>

#include <vector>

#include "fake_messages.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

using surface::test::fake_call;

TEST(endpoint_codec_test, attempt_has_request_id_attempt_id_and_priority) {
  surface::call_head head;
  head.request_id = "r-1";
  head.method = "PUT";
  head.target = "/x/1?q";
  head.passthrough_headers = {{"Content-Type", "text/plain"},
                              {"Idempotency-Key", "k"}};
  const transport::shared_text body =
      std::make_shared<const std::string>("body");
  const transport::http_request out =
      endpoint_codec(false).encode({.head = head,
                                    .body = body,
                                    .endpoint_id = "e",
                                    .priority = 3,
                                    .attempt_id = "a-1"});
  EXPECT_EQ(out.method, "PUT");
  EXPECT_EQ(out.target, "/x/1?q");
  EXPECT_EQ(out.shared_body, body);
  const transport::header_list expected{{"X-Request-Id", "r-1"},
                                        {"Trestlepost-Attempt", "a-1"},
                                        {"Trestlepost-Priority", "3"},
                                        {"Content-Type", "text/plain"},
                                        {"Idempotency-Key", "k"}};
  EXPECT_EQ(out.headers, expected);
}

struct answer_example {
  const char* what;
  unsigned status;
  transport::header_list headers;
  bool refusal_means_not_run;
  bool not_run;
  std::string attempt_id;
};

TEST(endpoint_codec_test, status_503_means_not_run_only_if_configured) {
  const transport::header_list none;
  const std::string oversized(16'000, 'a');
  const std::vector<answer_example> table{
      {"an answer", 200, none, true, false, ""},
      {"a refusal", 503, none, true, true, ""},
      {"a failure", 503, none, false, false, ""},
      {"an error", 500, none, true, false, ""},
      {"too many", 429, none, true, false, ""},
      {"no status", 0, none, true, false, ""},
      {"an echo", 200, {{"trestlepost-attempt", "a-1"}}, false, false, "a-1"},
      {"an empty echo", 200, {{"Trestlepost-Attempt", ""}}, false, false, ""},
      {"a refusal of another attempt",
       503,
       {{"Trestlepost-Attempt", "a-2"}},
       true,
       true,
       "a-2"},
      {"an oversized echo",
       200,
       {{"Trestlepost-Attempt", oversized}},
       false,
       false,
       oversized},
  };
  for (const answer_example& it : table) {
    fake_call call;
    call.status_code = it.status;
    call.all = it.headers;
    const surface::endpoint_answer read =
        endpoint_codec(it.refusal_means_not_run).read_head(call);
    EXPECT_EQ(read.not_run, it.not_run) << it.what;
    EXPECT_FALSE(read.other_endpoint) << it.what;
    EXPECT_EQ(read.attempt_id, it.attempt_id) << it.what;
    EXPECT_FALSE(read.load) << it.what;
    EXPECT_FALSE(read.cold_left) << it.what;
  }
}

TEST(endpoint_codec_test, relays_only_content_type) {
  fake_call call;
  call.all = {{"X-Other", "1"},
              {"Content-Type", "text/event-stream"},
              {"Trestlepost-Replayed", "true"},
              {"Trestlepost-Region", "forged"},
              {"Connection", "close"}};
  const transport::header_list expected{{"Content-Type", "text/event-stream"}};
  EXPECT_EQ(endpoint_codec(false).passthrough_headers(call), expected);
  EXPECT_TRUE(endpoint_codec(false).passthrough_headers(fake_call()).empty());
}

}  // namespace
}  // namespace trestlepost::own

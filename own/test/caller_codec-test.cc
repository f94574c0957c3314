// Tests parsing of callers' requests and encoding of refusals.
#include <gtest/gtest.h>

#include <vector>

#include "fake_messages.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

using std::chrono::milliseconds;
using surface::run_state;
using surface::test::fake_exchange;
using surface::test::find_header;

fake_exchange make_exchange() {
  fake_exchange out;
  out.target_text = "/v1/services/s/x?q=1";
  out.all = {{"Host", "a.example"},
             {"X-Request-Id", "r-1"},
             {"Content-Type", "text/plain"},
             {"Idempotency-Key", "k"},
             {"Authorization", "Bearer secret"},
             {"Trestlepost-Deadline-Ms", "1500"},
             {"Trestlepost-Attempt", "forged"},
             {"X-Other", "1"}};
  return out;
}

TEST(caller_codec_test, parses_request_head) {
  const result<surface::call_head> head =
      caller_codec().read_head(make_exchange());
  ASSERT_TRUE(head);
  EXPECT_EQ(head->request_id, "r-1");
  EXPECT_EQ(head->host, "");
  EXPECT_EQ(head->method, "POST");
  EXPECT_EQ(head->target, "/v1/services/s/x?q=1");
  EXPECT_EQ(head->caller_timeout, milliseconds(1500));
  EXPECT_FALSE(head->prompt.known());
}

TEST(caller_codec_test, forwards_only_content_type_and_idempotency_key) {
  const result<surface::call_head> head =
      caller_codec().read_head(make_exchange());
  ASSERT_TRUE(head);
  const transport::header_list expected{{"Content-Type", "text/plain"},
                                        {"Idempotency-Key", "k"}};
  EXPECT_EQ(head->passthrough_headers, expected);
}

TEST(caller_codec_test, accepts_request_without_headers) {
  const result<surface::call_head> head =
      caller_codec().read_head(fake_exchange());
  ASSERT_TRUE(head);
  EXPECT_EQ(head->request_id, "");
  EXPECT_FALSE(head->caller_timeout);
  EXPECT_TRUE(head->passthrough_headers.empty());
}

TEST(caller_codec_test, ignores_invalid_request_id) {
  const std::vector<std::string> table{"",
                                       " ",
                                       "a b",
                                       "a\nb",
                                       "a\"b",
                                       "a/b",
                                       "a,b",
                                       "\xc3\xa9",
                                       std::string("a\0b", 3),
                                       std::string(129, 'a')};
  for (const std::string& it : table) {
    fake_exchange malformed;
    malformed.all = {{"X-Request-Id", it}};
    const result<surface::call_head> head = caller_codec().read_head(malformed);
    ASSERT_TRUE(head) << it;
    EXPECT_EQ(head->request_id, "") << it;
  }
  fake_exchange exchange;
  exchange.all = {{"X-Request-Id", std::string(128, 'a')}};
  EXPECT_EQ(caller_codec().read_head(exchange)->request_id.size(), 128U);
}

TEST(caller_codec_test, rejects_invalid_deadline) {
  for (const char* it : {"0", "-1", "+5", "x", "5x", " 5", "5 ", "1.5", "1e3",
                         "0x10", "3600001", "99999999999999999999"}) {
    fake_exchange malformed;
    malformed.all = {{"Trestlepost-Deadline-Ms", it}};
    const result<surface::call_head> head = caller_codec().read_head(malformed);
    ASSERT_FALSE(head) << it;
    EXPECT_EQ(head.error().kind, error_kind::bad_input) << it;
    EXPECT_FALSE(head.error().remedy.empty()) << it;
  }
}

struct refusal_example {
  error_kind kind;
  run_state ran;
  milliseconds retry_after;
  unsigned status;
  const char* ran_text;
  const char* seconds;
};

TEST(caller_codec_test, refusals_are_problem_documents) {
  const std::vector<refusal_example> table{
      {error_kind::bad_input, run_state::no, {}, 400, "no", ""},
      {error_kind::unauthorized, run_state::no, {}, 401, "no", ""},
      {error_kind::label_not_allowed, run_state::no, {}, 403, "no", ""},
      {error_kind::no_matching_rule, run_state::no, {}, 403, "no", ""},
      {error_kind::not_permitted, run_state::no, {}, 403, "no", ""},
      {error_kind::unknown_service, run_state::no, {}, 404, "no", ""},
      {error_kind::not_found, run_state::no, {}, 404, "no", ""},
      {error_kind::conflict, run_state::no, {}, 409, "no", ""},
      {error_kind::in_progress, run_state::unknown, milliseconds(1), 409,
       "unknown", "1"},
      {error_kind::outcome_unknown, run_state::yes, {}, 409, "yes", ""},
      {error_kind::key_expired, run_state::no, {}, 410, "no", ""},
      {error_kind::too_large, run_state::no, {}, 413, "no", ""},
      {error_kind::transit_refused, run_state::no, {}, 421, "no", ""},
      {error_kind::mismatch, run_state::no, {}, 422, "no", ""},
      {error_kind::overloaded, run_state::no, milliseconds(1001), 429, "no",
       "2"},
      {error_kind::internal, run_state::unknown, {}, 500, "unknown", ""},
      {error_kind::endpoint_failed, run_state::unknown, milliseconds(1000), 502,
       "unknown", "1"},
      {error_kind::unavailable, run_state::no, milliseconds(2000), 503, "no",
       "2"},
      {error_kind::draining, run_state::no, {}, 503, "no", ""},
      {error_kind::deadline, run_state::unknown, {}, 504, "unknown", ""},
  };
  for (const refusal_example& it : table) {
    const surface::refusal why{
        {it.kind, "m", "r"}, it.ran, it.retry_after, "r-1"};
    const transport::http_response answer = caller_codec().refuse(why);
    const std::string_view name = to_string(it.kind);
    EXPECT_EQ(answer.status, it.status) << name;
    EXPECT_EQ(answer.content_type, "application/problem+json") << name;
    EXPECT_EQ(find_header(answer.headers, "X-Request-Id"), "r-1") << name;
    EXPECT_EQ(find_header(answer.headers, "Trestlepost-Ran"), it.ran_text)
        << name;
    EXPECT_EQ(find_header(answer.headers, "Retry-After"), it.seconds) << name;
    const result<json> body = parse_json(answer.body);
    ASSERT_TRUE(body) << name;
    EXPECT_EQ(text_of(*body, "kind"), name);
    EXPECT_EQ(text_of(*body, "ran"), it.ran_text) << name;
    EXPECT_EQ(text_of(*body, "detail"), "m") << name;
    EXPECT_EQ(text_of(*body, "remedy"), "r") << name;
  }
}

TEST(caller_codec_test, refusal_without_id_has_no_id_header) {
  const surface::refusal why{{error_kind::draining, "m", "r"}};
  const transport::http_response answer = caller_codec().refuse(why);
  for (const auto& [name, text] : answer.headers) {
    EXPECT_NE(name, "X-Request-Id");
  }
}

}  // namespace
}  // namespace trestlepost::own

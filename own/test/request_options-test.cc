// Tests parsing of labels, bearer tokens, request ids and option headers.
#include "trestlepost/own/request_options.h"

#include <gtest/gtest.h>

#include <vector>

#include "fake_messages.h"

namespace trestlepost::own {
namespace {

using surface::test::fake_exchange;

TEST(parse_labels_test, parses_pairs_and_rejects_malformed_labels) {
  EXPECT_EQ(parse_labels("a=1, b=2")->at("b"), "2");
  EXPECT_TRUE(parse_labels("")->empty());
  EXPECT_EQ(parse_labels("a=1,")->size(), 1U);  // A trailing comma is accepted.
  for (const char* it : {"a", "=1", "a=", "a=1,,b=2", "a=1,a=2", ","}) {
    EXPECT_FALSE(parse_labels(it)) << it;
  }
}

TEST(bearer_token_test, accepts_only_the_bearer_scheme) {
  EXPECT_EQ(bearer_token("Bearer abc"), "abc");
  EXPECT_EQ(bearer_token("Basic abc"), "");
  EXPECT_EQ(bearer_token("Bearer"), "");
  EXPECT_EQ(bearer_token("Bearer "), "");
  EXPECT_EQ(bearer_token(""), "");
}

TEST(valid_request_id_test, rejects_unsafe_characters_and_long_ids) {
  EXPECT_EQ(valid_request_id("a-1_b.c"), "a-1_b.c");
  EXPECT_EQ(valid_request_id("a\nb"), "");
  EXPECT_EQ(valid_request_id(std::string(200, 'a')), "");
}

TEST(read_options_test, reads_all_options) {
  fake_exchange exchange;
  exchange.all = {{"Trestlepost-Labels", "a=1"},
                  {"Trestlepost-Repeatable", "false"},
                  {"Idempotency-Key", "k"},
                  {"Trestlepost-Priority", "9"}};
  const result<request_options> options = read_options(exchange);
  ASSERT_TRUE(options);
  EXPECT_EQ(options->labels.at("a"), "1");
  EXPECT_EQ(options->repeatable, false);
  EXPECT_EQ(options->idempotency_key, "k");
  EXPECT_EQ(options->priority, 9);
}

TEST(read_options_test, all_options_are_optional) {
  const result<request_options> options = read_options(fake_exchange());
  ASSERT_TRUE(options);
  EXPECT_TRUE(options->labels.empty());
  EXPECT_FALSE(options->repeatable);
  EXPECT_EQ(options->idempotency_key, "");
  EXPECT_EQ(options->priority, 0);
}

struct invalid_header_example {
  const char* name;
  std::string text;
};

TEST(read_options_test, rejects_invalid_headers_by_name) {
  const std::vector<invalid_header_example> table{
      {"Trestlepost-Labels", "a"},
      {"Trestlepost-Labels", ",a=1"},
      {"Trestlepost-Labels", "a=1,,b=2"},
      {"Trestlepost-Labels", "a=1,a=2"},
      {"Trestlepost-Repeatable", "yes"},
      {"Trestlepost-Repeatable", "TRUE"},
      {"Trestlepost-Repeatable", "1"},
      {"Trestlepost-Repeatable", "tru"},
      {"Idempotency-Key", std::string(257, 'k')},
      {"Trestlepost-Priority", "10"},
      {"Trestlepost-Priority", "-1"},
      {"Trestlepost-Priority", "high"},
      {"Trestlepost-Priority", "1.5"},
      {"Trestlepost-Priority", "1 "},
      {"Trestlepost-Priority", "99999999999999999999"},
  };
  for (const invalid_header_example& it : table) {
    fake_exchange malformed;
    malformed.all = {{it.name, it.text}};
    const result<request_options> options = read_options(malformed);
    ASSERT_FALSE(options) << it.name << ": " << it.text;
    EXPECT_EQ(options.error().kind, error_kind::bad_input) << it.text;
    EXPECT_NE(options.error().message.find(it.name), std::string::npos)
        << it.text;
    EXPECT_FALSE(options.error().remedy.empty()) << it.text;
  }
}

TEST(read_options_test, accepts_key_of_maximum_length) {
  fake_exchange exchange;
  exchange.all = {{"Idempotency-Key", std::string(256, 'k')}};
  EXPECT_TRUE(read_options(exchange));
}

}  // namespace
}  // namespace trestlepost::own

// Tests look-ups of entries and answers to readiness and health checks.
#include <gtest/gtest.h>

#include <vector>

#include "trestlepost/own/codecs.h"

namespace trestlepost::own {
namespace {

using std::chrono::milliseconds;

struct query_example {
  const char* target;
  bool is_query;
  const char* region;
  const char* zone;
};

TEST(entry_codec_test, parses_entry_queries) {
  const std::vector<query_example> table{
      {"/v1/entries", true, "", ""},
      {"/v1/entries?", true, "", ""},
      {"/v1/entries?region=r&availability_zone=z", true, "r", "z"},
      {"/v1/entries?availability_zone=z&x&region", true, "", "z"},
      {"/v1/entries?region=&&=r", true, "", ""},
      {"/v1/entries/", false, "", ""},
      {"/v1/entrie", false, "", ""},
      {"/x?/v1/entries", false, "", ""},
      {"", false, "", ""},
  };
  for (const query_example& it : table) {
    const std::optional<membership::entry_query> read =
        entry_codec().read_query("GET", it.target);
    ASSERT_EQ(read.has_value(), it.is_query) << it.target;
    if (!read) continue;
    EXPECT_EQ(read->near_region, it.region) << it.target;
    EXPECT_EQ(read->near_zone, it.zone) << it.target;
    EXPECT_TRUE(read->allowed_regions.empty()) << it.target;
  }
}

TEST(entry_codec_test, decodes_labels) {
  const result<config::label_map> labels =
      entry_codec().read_labels("/v1/entries?labels=a%3D1%2Cb=2");
  ASSERT_TRUE(labels);
  const config::label_map expected{{"a", "1"}, {"b", "2"}};
  EXPECT_EQ(*labels, expected);
  EXPECT_TRUE(entry_codec().read_labels("/v1/entries")->empty());
}

// Guards against escapes without digits that are read as byte 0.
TEST(entry_codec_test, an_invalid_escape_in_a_label_stays_as_it_is) {
  const result<config::label_map> labels =
      entry_codec().read_labels("/v1/entries?labels=a%3D%zz,b=1%2");
  ASSERT_TRUE(labels);
  const config::label_map expected{{"a", "%zz"}, {"b", "1%2"}};
  EXPECT_EQ(*labels, expected);
}

TEST(entry_codec_test, rejects_invalid_labels) {
  for (const char* it :
       {"a", "a%3D", "%3D1", ",a=1", "a=1%2C%2Cb=2", "a=1,a=2", "a%3", "a%"}) {
    const result<config::label_map> labels =
        entry_codec().read_labels(std::string("/v1/entries?labels=") + it);
    ASSERT_FALSE(labels) << it;
    EXPECT_EQ(labels.error().kind, error_kind::bad_input) << it;
  }
}

TEST(entry_codec_test, encodes_entries_with_lifetime) {
  const transport::http_response answer = entry_codec().show_entries(
      {{"n", "1.2.3.4:5", "r", "z", "ready"}, {"m", "1.2.3.4:6", "s", "y", ""}},
      milliseconds(1500));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.content_type, "application/json");
  const result<json> body = parse_json(answer.body);
  ASSERT_TRUE(body);
  EXPECT_EQ(number_of(*body, "valid_for_ms"), 1500U);
  const json& entries = member_of(*body, "entries");
  ASSERT_EQ(entries.size(), 2U);
  EXPECT_EQ(text_of(entries[0], "node"), "n");
  EXPECT_EQ(text_of(entries[0], "address"), "1.2.3.4:5");
  EXPECT_EQ(text_of(entries[0], "region"), "r");
  EXPECT_EQ(text_of(entries[0], "availability_zone"), "z");
  EXPECT_EQ(text_of(entries[0], "state"), "ready");
  const transport::http_response none =
      entry_codec().show_entries({}, milliseconds(1));
  EXPECT_EQ(none.body, R"({"entries":[],"valid_for_ms":1})");
}

TEST(entry_codec_test, distinguishes_readiness_and_health) {
  const entry_codec codec;
  EXPECT_TRUE(codec.is_readiness_query("GET", "/readyz"));
  EXPECT_TRUE(codec.is_readiness_query("GET", "/readyz?x"));
  EXPECT_TRUE(codec.is_health_query("/healthz"));
  for (const char* it :
       {"", "/", "/ready", "/readyz/", "/health", "/x/readyz", "/healthzz"}) {
    EXPECT_FALSE(codec.is_readiness_query("GET", it)) << it;
    EXPECT_FALSE(codec.is_health_query(it)) << it;
  }
  EXPECT_FALSE(codec.is_health_query("/readyz"));
  EXPECT_FALSE(codec.is_readiness_query("GET", "/healthz"));
}

TEST(entry_codec_test, encodes_readiness) {
  const transport::http_response ready =
      entry_codec().show_readiness({true, "ready", 7});
  EXPECT_EQ(ready.status, 200U);
  EXPECT_EQ(ready.body, R"({"revision":7,"state":"ready"})");
  const transport::http_response starting =
      entry_codec().show_readiness({false, "starting", 0});
  EXPECT_EQ(starting.status, 503U);
  EXPECT_EQ(starting.body, R"({"revision":0,"state":"starting"})");
}

TEST(entry_codec_test, refusals_are_problem_documents) {
  const transport::http_response unknown =
      entry_codec().refuse({error_kind::not_found, "m", "r"});
  EXPECT_EQ(unknown.status, 404U);
  EXPECT_EQ(unknown.content_type, "application/problem+json");
  EXPECT_EQ(entry_codec().refuse({error_kind::bad_input, "m", "r"}).status,
            400U);
}

}  // namespace
}  // namespace trestlepost::own

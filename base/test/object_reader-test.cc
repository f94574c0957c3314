// Tests parsing of durations and JSON documents, and the problems reported for
// invalid members.
#include "trestlepost/base/object_reader.h"

#include <gtest/gtest.h>

namespace trestlepost {
namespace {

using std::chrono::milliseconds;

TEST(parse_duration_test, accepts_only_known_units) {
  EXPECT_EQ(parse_duration("250 ms"), milliseconds(250));
  EXPECT_EQ(parse_duration("5s"), milliseconds(5000));
  EXPECT_EQ(parse_duration("2 min"), milliseconds(120'000));
  EXPECT_EQ(parse_duration("24 h"), milliseconds(86'400'000));
  for (const char* it : {"5", "", "s", "-1 s", "5 sec", "5 s ", "1e3 ms"}) {
    EXPECT_FALSE(parse_duration(it)) << it;
  }
}

TEST(object_reader_test, reports_every_problem_with_line_and_remedy) {
  const std::string text =
      "{\n  // a comment\n  \"wiat\": \"5 s\",\n  \"port\": 70000,\n"
      "  \"lease\": \"5 parsecs\"\n}\n";
  const result<json> doc = parse_json(text, json_comments::allow);
  ASSERT_TRUE(doc) << doc.error().message;
  problem_list problems(text);
  object_reader reader(*doc, "", problems);
  reader.duration_or("wait", milliseconds(1));
  reader.number_or("port", 1, 1, 65535);
  reader.duration_or("lease", milliseconds(1));
  reader.text("node");
  reader.finish();
  ASSERT_EQ(problems.items().size(), 4U);
  EXPECT_EQ(problems.items()[0].line, 4);
  EXPECT_EQ(problems.items()[1].line, 5);
  EXPECT_EQ(problems.items()[2].key, "node");
  EXPECT_EQ(problems.items()[3].line, 3);
  EXPECT_EQ(problems.items()[3].remedy, "did you mean \"wait\"?");
}

TEST(parse_json_test, rejects_malformed_documents) {
  for (const char* it :
       {"", "{", "{\"a\":1}x", "{\"a\":1,\"a\":2}", "[1,]", "nul"}) {
    EXPECT_FALSE(parse_json(it)) << it;
  }
  EXPECT_FALSE(parse_json(std::string(1000, '[')));
}

}  // namespace
}  // namespace trestlepost

// Tests that the service of a call is found in its target or its body.
#include "trestlepost/own/call_target.h"

#include <gtest/gtest.h>

#include <vector>

namespace trestlepost::own {
namespace {

struct target_example {
  const char* method;
  const char* target;
  bool is_call;
  const char* service;
  const char* path;
};

TEST(read_target_test, parses_model_calls_and_service_calls) {
  const std::vector<target_example> table{
      {"POST", "/v1/chat/completions", true, "", "/v1/chat/completions"},
      {"POST", "/v1/completions?x=1", true, "", "/v1/completions"},
      {"GET", "/v1/completions", false, "", ""},
      {"POST", "/v1/completions/", false, "", ""},
      {"POST", "/v1/completion", false, "", ""},
      {"GET", "/v1/services/s/", true, "s", "/"},
      {"PUT", "/v1/services/s/a/b?q=1", true, "s", "/a/b?q=1"},
      {"GET", "/v1/services/s?/x", true, "s?", "/x"},
      {"GET", "/v1/services/s", false, "", ""},
      {"GET", "/v1/services//a", false, "", ""},
      {"GET", "/v1/services/", false, "", ""},
      {"GET", "/v1/services", false, "", ""},
      {"GET", "/v2/services/s/a", false, "", ""},
      {"GET", "/", false, "", ""},
      {"GET", "", false, "", ""},
      {"GET", "*", false, "", ""},
  };
  for (const target_example& it : table) {
    const std::optional<call_target> read = read_target(it.method, it.target);
    ASSERT_EQ(read.has_value(), it.is_call) << it.target;
    if (!read) continue;
    EXPECT_EQ(read->service, it.service) << it.target;
    EXPECT_EQ(read->path, it.path) << it.target;
  }
}

TEST(read_model_call_test, reads_model_and_affinity) {
  const std::string first = R"({"model":"m","messages":[{"content":")" +
                            std::string(600, 'x') + R"(1"}]})";
  const std::string second = R"({"model":"m","messages":[{"content":")" +
                             std::string(600, 'x') + R"(2"}]})";
  EXPECT_EQ(read_model_call(first)->affinity,
            read_model_call(second)->affinity);
  EXPECT_NE(read_model_call(first)->affinity, 0U);
  EXPECT_FALSE(read_model_call("{}"));
  EXPECT_FALSE(read_model_call("no json"));
}

TEST(read_model_call_test, rejects_bodies_without_model) {
  const std::vector<std::string> table{
      "",
      "{",
      R"({"model":"m")",
      R"({"model":"m"}x)",
      "[]",
      "7",
      "null",
      R"(["model"])",
      R"({"model":7})",
      R"({"model":null})",
      R"({"model":["m"]})",
      R"({"model":""})",
      R"({"Model":"m"})",
      R"({"model":"m","model":"n"})",
      std::string(100'000, '['),
  };
  for (const std::string& it : table) {
    const result<model_call> read = read_model_call(it);
    ASSERT_FALSE(read) << it.substr(0, 40);
    EXPECT_FALSE(read.error().remedy.empty()) << it.substr(0, 40);
  }
}

TEST(read_model_call_test, invalid_prompt_gives_no_affinity) {
  for (const char* it :
       {R"({"model":"m"})", R"({"model":"m","prompt":7})",
        R"({"model":"m","messages":"x"})", R"({"model":"m","prompt":""})"}) {
    const result<model_call> read = read_model_call(it);
    ASSERT_TRUE(read) << it;
    EXPECT_EQ(read->affinity, 0U) << it;
  }
}

}  // namespace
}  // namespace trestlepost::own

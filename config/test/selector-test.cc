// Tests parsing and matching of selectors.
#include "trestlepost/config/selector.h"

#include <gtest/gtest.h>

namespace trestlepost::config {
namespace {

struct selector_case {
  const char* text;
  label_map labels;
  bool expected;
};

TEST(selector_test, matches_labels_by_operator) {
  const label_map hazard{{"cargo", "hazard"}, {"line", "me-pa"}};
  const selector_case cases[] = {
      {"{}", {}, true},
      {R"({"cargo": "hazard"})", hazard, true},
      {R"({"cargo": "grain"})", hazard, false},
      {R"({"cargo": ["grain", "hazard"]})", hazard, true},
      {R"({"cargo": {"in": ["grain"]}})", hazard, false},
      {R"({"cargo": {"not_in": ["grain"]}})", hazard, true},
      {R"({"cargo": {"not_in": ["grain"]}})", {}, true},
      {R"({"cargo": {"exists": true}})", {}, false},
      {R"({"cargo": {"exists": false}})", {}, true},
      {R"({"cargo": "hazard", "line": "ct-sr"})", hazard, false},
  };
  for (const selector_case& it : cases) {
    problem_list problems;
    const selector read = read_selector(*parse_json(it.text), "s", problems);
    EXPECT_TRUE(problems.empty()) << it.text;
    EXPECT_EQ(matches(read, it.labels), it.expected) << it.text;
  }
}

TEST(selector_test, rejects_invalid_conditions) {
  for (const char* it :
       {R"([])", R"({"a": 1})", R"({"a": []})", R"({"a": {"like": "x"}})",
        R"({"a": {"exists": "yes"}})"}) {
    problem_list problems;
    read_selector(*parse_json(it), "s", problems);
    EXPECT_FALSE(problems.empty()) << it;
  }
}

}  // namespace
}  // namespace trestlepost::config

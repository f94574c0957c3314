// Transitions with guards, and rejection of invalid charts.
#include "trestlepost/charts/chart.h"

#include <gtest/gtest.h>

namespace trestlepost::charts {
namespace {

const chart_interface code{{"on", "off"}, {"push", "pull"}, {"warm"}};

TEST(chart_test, follows_its_transitions_and_guards) {
  const result<chart> it = chart::parse(
      R"({ // a switch
        "initial": "off",
        "states": {
          "off": {"on": {"push": [{"guard": "warm", "to": "on"}]},
                  "ignore": ["pull"]},
          "on": {"on": {"pull": "off"}, "ignore": ["push"]}}})",
      "switch", code);
  ASSERT_TRUE(it) << it.error().message;
  const guard_function no = [](const std::string&) { return false; };
  const guard_function yes = [](const std::string&) { return true; };
  EXPECT_EQ(it->next("off", "push", no), "off");
  EXPECT_EQ(it->next("off", "push", yes), "on");
  EXPECT_EQ(it->next("on", "pull", no), "off");
}

struct bad_chart {
  const char* text;
  const char* expected;
};

TEST(chart_test, refuses_incomplete_charts) {
  const bad_chart cases[] = {
      {R"({"initial":"off","states":{"off":{"ignore":["push","pull"]},
           "on":{"ignore":["push","pull"]}}})",
       "can't be reached"},
      {R"({"initial":"off","states":{"off":{"on":{"push":"on"}},
           "on":{"ignore":["push","pull"]}}})",
       "is not handled"},
      {R"({"initial":"off","states":{
           "off":{"on":{"push":[{"guard":"wram","to":"on"}]},
                  "ignore":["pull"]},
           "on":{"ignore":["push","pull"]}}})",
       "did you mean \"warm\""},
      {R"({"initial":"off","states":{
           "off":{"on":{"push":"onn"},"ignore":["pull"]},
           "on":{"ignore":["push","pull"]}}})",
       "\"onn\" does not exist"},
      {R"({"initial":"off","states":{
           "off":{"ignore":["push","pull"]}}})",
       "state \"on\" is missing"},
      {R"({"initial":"off","states":{}})", "no states"},
      {"{", "not valid JSON"},
  };
  for (const bad_chart& it : cases) {
    const result<chart> read = chart::parse(it.text, "switch", code);
    ASSERT_FALSE(read) << it.text;
    EXPECT_NE(read.error().message.find(it.expected), std::string::npos)
        << read.error().message;
  }
}

}  // namespace
}  // namespace trestlepost::charts

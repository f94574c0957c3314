// Tests that deltas restore the new text, are short, and are rejected if
// malformed.
#include "trestlepost/base/text_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace trestlepost {
namespace {

constexpr std::size_t limit = 1024UL * 1024;

std::string object(int n) {
  return "{\"name\":\"r" + std::to_string(n) + "\"}";
}

std::string document(int from, int to) {
  std::string out = "{\"routes\":[";
  for (int n = from; n < to; ++n) out += (n > from ? "," : "") + object(n);
  return out + "]}";
}

RC_GTEST_PROP(text_delta_test, a_delta_restores_the_new_text, ()) {
  const auto any_text = [] {
    const std::vector<std::string> parts =
        *rc::gen::container<std::vector<std::string>>(
            rc::gen::element<std::string>("{\"a\":1}", "{\"b\":2}", ",", "x",
                                          "}", "{", "=1,2;", "+3;"));
    std::string out;
    for (const std::string& it : parts) out += it;
    return out;
  };
  const std::string before = any_text();
  const std::string after = any_text();
  const std::string delta = make_text_delta(before, after);
  const std::optional<std::string> got = apply_text_delta(before, delta, limit);
  RC_ASSERT(got.has_value());
  RC_ASSERT(*got == after);
}

RC_GTEST_PROP(text_delta_test, an_arbitrary_delta_stays_within_the_limit,
              (const std::string& before, const std::string& tail)) {
  const std::optional<std::string> got =
      apply_text_delta(before, "{" + tail, limit);
  RC_ASSERT(!got || got->size() <= limit);
}

TEST(text_delta_test, rejects_malformed_and_out_of_range_deltas) {
  for (const char* it :
       {"", "x", "{=0,4;", "{=4,1;", "{=0,", "{=0,1", "{+2;a", "{+;a", "{-1;",
        "{=18446744073709551615,2;", "{=1,18446744073709551615;"}) {
    EXPECT_FALSE(apply_text_delta("abc", it, limit)) << it;
  }
  EXPECT_FALSE(apply_text_delta("abc", "{=0,3;=0,3;", 5));
  EXPECT_EQ(apply_text_delta("abc", "{=0,3;=0,3;", 6), "abcabc");
}

TEST(text_delta_test, delta_size_depends_on_the_changes) {
  const std::string before = document(0, 5000);
  EXPECT_LT(make_text_delta(before, before).size(), 20U);
  const std::string more = make_text_delta(before, document(0, 5010));
  EXPECT_LT(more.size(), 10 * object(5000).size() + 60);
  const std::string less = make_text_delta(before, document(10, 5000));
  EXPECT_LT(less.size(), 80U);
}

}  // namespace
}  // namespace trestlepost

// Tests that request_record reports each violation and no valid outcome.
#include "request_record.h"

#include <gtest/gtest.h>

namespace trestlepost::soak {
namespace {

int count_violations(request_kind kind, unsigned status,
                     const endpoint_names& ran) {
  violation_list violations;
  request_record it(violations, {"home"}, "");
  it.check({"id", kind, status}, ran);
  return static_cast<int>(violations.size());
}

TEST(request_record_test, allowed_outcomes_are_no_violation) {
  EXPECT_EQ(count_violations(request_kind::repeatable, 200, {"a", "b"}), 0);
  EXPECT_EQ(count_violations(request_kind::run_once, 200, {"a"}), 0);
  EXPECT_EQ(count_violations(request_kind::run_once, 0, {"a"}), 0);
  EXPECT_EQ(count_violations(request_kind::run_once, 503, {}), 0);
  EXPECT_EQ(count_violations(request_kind::home_bound, 200, {"home"}), 0);
}

TEST(request_record_test, a_duplicate_run_is_a_violation) {
  EXPECT_EQ(count_violations(request_kind::run_once, 200, {"a", "b"}), 1);
  EXPECT_EQ(count_violations(request_kind::run_once, 0, {"a", "b"}), 1);
}

TEST(request_record_test, a_run_of_a_refused_request_is_a_violation) {
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    EXPECT_EQ(count_violations(request_kind::repeatable, status, {"a"}), 1)
        << status;
  }
}

TEST(request_record_test, an_answer_without_a_run_is_a_violation) {
  EXPECT_EQ(count_violations(request_kind::repeatable, 200, {}), 1);
}

TEST(request_record_test, a_run_outside_its_home_is_a_violation) {
  EXPECT_EQ(count_violations(request_kind::home_bound, 0, {"away"}), 1);
}

TEST(request_record_test,
     a_truncated_stream_framed_as_complete_is_a_violation) {
  struct example {
    std::string stream;
    bool delimited;
    std::size_t violations;
  };
  const std::string full = "data: 1\n\ndata: 2\n\n";
  const std::vector<example> table{
      {full, true, 0},
      {full, false, 0},
      {"data: 1\n\n", false, 0},
      {"data: 1\n\n", true, 1},
      {"data: 1\n\ndata", false, 1},
      {"", false, 1},
  };
  for (const example& one : table) {
    violation_list violations;
    request_record it(violations, {}, full);
    it.check({"id", request_kind::run_once, 200, one.stream, one.delimited},
             {"a"});
    EXPECT_EQ(violations.size(), one.violations) << one.stream;
  }
}

}  // namespace
}  // namespace trestlepost::soak

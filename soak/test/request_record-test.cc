// Tests that request_record reports each violation and no valid outcome.
#include "request_record.h"

#include <gtest/gtest.h>

namespace trestlepost::soak {
namespace {

int found_of(request_kind kind, unsigned status, const endpoint_list& ran) {
  violations found;
  request_record it(found, {"home"});
  it.check({"id", kind, status}, ran);
  return static_cast<int>(found.size());
}

TEST(request_record_test, what_holds_is_no_violation) {
  EXPECT_EQ(found_of(request_kind::repeatable, 200, {"a", "b"}), 0);
  EXPECT_EQ(found_of(request_kind::run_once, 200, {"a"}), 0);
  EXPECT_EQ(found_of(request_kind::run_once, 0, {"a"}), 0);
  EXPECT_EQ(found_of(request_kind::run_once, 503, {}), 0);
  EXPECT_EQ(found_of(request_kind::bound, 200, {"home"}), 0);
}

TEST(request_record_test, a_request_that_ran_twice_is_caught) {
  EXPECT_EQ(found_of(request_kind::run_once, 200, {"a", "b"}), 1);
  EXPECT_EQ(found_of(request_kind::run_once, 0, {"a", "b"}), 1);
}

TEST(request_record_test, a_false_promise_is_caught) {
  for (const unsigned status : {408U, 421U, 429U, 503U}) {
    EXPECT_EQ(found_of(request_kind::repeatable, status, {"a"}), 1) << status;
  }
}

TEST(request_record_test, an_answer_without_a_run_is_caught) {
  EXPECT_EQ(found_of(request_kind::repeatable, 200, {}), 1);
}

TEST(request_record_test, a_run_outside_its_home_is_caught) {
  EXPECT_EQ(found_of(request_kind::bound, 0, {"away"}), 1);
}

}  // namespace
}  // namespace trestlepost::soak

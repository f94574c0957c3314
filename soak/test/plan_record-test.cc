// Tests that plan_record reports each violation and no valid history.
#include "plan_record.h"

#include <gtest/gtest.h>

namespace trestlepost::soak {
namespace {

TEST(plan_record_test, consistent_reads_are_no_violation) {
  violation_list violations;
  plan_record it(violations);
  it.record_sent(2, "two");
  it.record_sent(3, "three");
  it.record_acknowledged(2);
  it.record_read(2, 2, "two", "n");
  it.record_read(2, 3, "three", "n");
  EXPECT_TRUE(violations.empty());
  EXPECT_EQ(it.newest_acknowledged(), 2U);
}

TEST(plan_record_test, a_stale_read_is_a_violation) {
  violation_list violations;
  plan_record it(violations);
  it.record_sent(2, "two");
  it.record_sent(3, "three");
  it.record_acknowledged(3);
  it.record_acknowledged(2);
  it.record_read(it.newest_acknowledged(), 2, "two", "n");
  EXPECT_EQ(violations.size(), 1U);
}

TEST(plan_record_test, an_unknown_document_is_a_violation) {
  violation_list violations;
  plan_record it(violations);
  it.record_sent(2, "two");
  it.record_read(0, 2, "tw", "n");
  EXPECT_EQ(violations.size(), 1U);
}

TEST(plan_record_test, two_documents_with_one_number_are_a_violation) {
  violation_list violations;
  plan_record it(violations);
  it.record_sent(2, "two");
  it.record_sent(2, "zwei");
  it.record_read(0, 2, "two", "n");
  it.record_read(0, 2, "zwei", "m");
  EXPECT_EQ(violations.size(), 1U);
}

TEST(plan_record_test, refusing_a_valid_plan_is_a_violation) {
  violation_list violations;
  plan_record it(violations);
  it.record_invalid(2, "400");
  EXPECT_EQ(violations.size(), 1U);
}

}  // namespace
}  // namespace trestlepost::soak

// Tests that plan_record reports each violation and no valid history.
#include "plan_record.h"

#include <gtest/gtest.h>

namespace trestlepost::soak {
namespace {

TEST(plan_record_test, what_holds_is_no_violation) {
  violations found;
  plan_record it(found);
  it.sent(2, "two");
  it.sent(3, "three");
  it.acknowledged(2);
  it.shown(2, 2, "two", "n");
  it.shown(2, 3, "three", "n");
  EXPECT_TRUE(found.empty());
  EXPECT_EQ(it.newest_acknowledged(), 2U);
}

TEST(plan_record_test, a_read_older_than_the_acknowledgement_is_caught) {
  violations found;
  plan_record it(found);
  it.sent(2, "two");
  it.sent(3, "three");
  it.acknowledged(3);
  it.acknowledged(2);
  it.shown(it.newest_acknowledged(), 2, "two", "n");
  EXPECT_EQ(found.size(), 1U);
}

TEST(plan_record_test, a_document_that_nobody_sent_is_caught) {
  violations found;
  plan_record it(found);
  it.sent(2, "two");
  it.shown(0, 2, "tw", "n");
  EXPECT_EQ(found.size(), 1U);
}

TEST(plan_record_test, two_documents_under_one_number_are_caught) {
  violations found;
  plan_record it(found);
  it.sent(2, "two");
  it.sent(2, "zwei");
  it.shown(0, 2, "two", "n");
  it.shown(0, 2, "zwei", "m");
  EXPECT_EQ(found.size(), 1U);
}

TEST(plan_record_test, a_sound_plan_that_is_refused_is_caught) {
  violations found;
  plan_record it(found);
  it.refused_as_invalid(2, "400");
  EXPECT_EQ(found.size(), 1U);
}

}  // namespace
}  // namespace trestlepost::soak

#include "refusal_message.h"

#include <gtest/gtest.h>

namespace trestlepost::gateway {
namespace {

TEST(refusal_message_test, sends_are_read_back) {
  attempt refused;
  refused.sends = 2;
  EXPECT_EQ(read_refusal(make_refusal(refused).body).sends, 2U);
  refused.sends = 0;
  EXPECT_EQ(read_refusal(make_refusal(refused).body).sends, 0U);
}

// A refusal whose body was lost counted as no send, so that the next send of
// the request was not charged.
TEST(refusal_message_test, a_refusal_without_sends_counts_one) {
  for (const char* body : {"{}", "", "[]", "{\"ran\": \"no\"}"}) {
    EXPECT_EQ(read_refusal(body).sends, 1U) << body;
  }
}

}  // namespace
}  // namespace trestlepost::gateway

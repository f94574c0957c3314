#include "refusal_message.h"

#include <gtest/gtest.h>

namespace trestlepost::gateway {
namespace {

TEST(refusal_message_test, sends_are_read_back) {
  attempt refused;
  refused.sends = 2;
  EXPECT_EQ(read_refusal(make_refusal(refused).body, 3).sends, 2U);
  refused.sends = 0;
  EXPECT_EQ(read_refusal(make_refusal(refused).body, 3).sends, 0U);
}

// A refusal whose body was lost counted as one send or none, although the other
// gateway may have made more.
TEST(refusal_message_test, a_refusal_without_sends_counts_all_permitted) {
  for (const char* body : {"{}", "", "[]", "{\"ran\": \"no\"}"}) {
    for (const unsigned permitted : {1U, 3U}) {
      EXPECT_EQ(read_refusal(body, permitted).sends, permitted) << body;
    }
  }
}

}  // namespace
}  // namespace trestlepost::gateway

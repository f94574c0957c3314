// Tests look-ups of parameters in the query of a request's target.
#include "trestlepost/transport/query.h"

#include <gtest/gtest.h>

namespace trestlepost::transport {
namespace {

TEST(query_test, returns_values_without_decoding) {
  EXPECT_EQ(query_value("/p?name=a%2eb&region=n&x", "name"), "a%2eb");
  EXPECT_EQ(query_value("/p?name=a&&region=n=m&x", "region"), "n=m");
  EXPECT_EQ(query_value("/p?a=1&a=2", "a"), "1");
}

TEST(query_test, missing_values_are_empty) {
  EXPECT_EQ(query_value("/p", "a"), "");
  EXPECT_EQ(query_value("/p?", "a"), "");
  EXPECT_EQ(query_value("/p?a&b=", "a"), "");
  EXPECT_EQ(query_value("/p?ab=1", "a"), "");
  EXPECT_EQ(query_value("/p&a=1", "a"), "");
}

}  // namespace
}  // namespace trestlepost::transport

// Tests which parts of a request its fingerprint depends on.
#include "trestlepost/gateway/request_fingerprint.h"

#include <gtest/gtest.h>

#include <set>
#include <vector>

namespace trestlepost::gateway {
namespace {

TEST(request_fingerprint_test, equal_requests_have_equal_fingerprints) {
  const request_identity one{"c", "POST", "h", "/p?q=1", "body"};
  const std::string named = fingerprint_of(one, "secret");
  EXPECT_EQ(named, fingerprint_of(one, "secret"));
  EXPECT_EQ(named.size(), 32U);
  EXPECT_NE(named, fingerprint_of(one, "another secret"));
}

TEST(request_fingerprint_test, every_field_counts_and_fields_are_delimited) {
  const std::vector<request_identity> all{
      {"c", "POST", "h", "/p", "body"},  {"d", "POST", "h", "/p", "body"},
      {"c", "PUT", "h", "/p", "body"},   {"c", "POST", "i", "/p", "body"},
      {"c", "POST", "h", "/p?", "body"}, {"c", "POST", "h", "/p", "bodY"},
      {"c", "POST", "h/", "p", "body"},  {"cP", "OST", "h", "/p", "body"}};
  std::set<std::string> named;
  for (const request_identity& it : all) named.insert(fingerprint_of(it, "s"));
  EXPECT_EQ(named.size(), all.size());
}

}  // namespace
}  // namespace trestlepost::gateway

// Tests the choice of the remote endpoint from which cached prompt sections are
// copied.
#include "trestlepost/gateway/remote_caches.h"

#include <gtest/gtest.h>

#include <set>

namespace trestlepost::gateway {
namespace {

remote_caches two_regions() {
  remote_caches out;
  out.add("lm", "isola", {"i-1", "10.0.0.1:1"});
  out.add("lm", "isola", {"i-2", "10.0.0.2:1"});
  out.add("lm", "golfo", {"i-3", "10.0.0.3:1"});
  return out;
}

TEST(remote_caches_test, one_section_has_one_likely_holder) {
  const remote_caches caches = two_regions();
  std::set<std::string> seen;
  for (std::uint64_t id = 1; id < 50; ++id) {
    const std::string first = caches.likely_holder("lm", {id, 900}, {});
    EXPECT_EQ(caches.likely_holder("lm", {id, 900}, {}), first);
    seen.insert(first);
  }
  const std::set<std::string> largest{"10.0.0.1:1", "10.0.0.2:1"};
  EXPECT_EQ(seen, largest);
}

TEST(remote_caches_test, only_regions_that_may_cache_the_request_count) {
  const remote_caches caches = two_regions();
  config::route bound;
  bound.home_regions = {"golfo", "stretto"};
  EXPECT_EQ(caches.likely_holder("lm", {7, 900}, bound), "10.0.0.3:1");
  bound.home_regions = {"stretto"};
  EXPECT_EQ(caches.likely_holder("lm", {7, 900}, bound), "");
}

TEST(remote_caches_test, other_services_and_forgotten_ones_have_none) {
  remote_caches caches = two_regions();
  EXPECT_EQ(caches.likely_holder("other", {7, 900}, {}), "");
  caches.clear();
  EXPECT_EQ(caches.likely_holder("lm", {7, 900}, {}), "");
}

}  // namespace
}  // namespace trestlepost::gateway

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

TEST(remote_caches_test, a_section_has_one_likely_source) {
  const remote_caches caches = two_regions();
  std::set<std::string> seen;
  for (std::uint64_t id = 1; id < 50; ++id) {
    const std::string first = caches.likely_source("lm", {id, 900}, {});
    EXPECT_EQ(caches.likely_source("lm", {id, 900}, {}), first);
    seen.insert(first);
  }
  const std::set<std::string> largest{"10.0.0.1:1", "10.0.0.2:1"};
  EXPECT_EQ(seen, largest);
}

TEST(remote_caches_test, regions_that_may_not_cache_the_request_are_ignored) {
  const remote_caches caches = two_regions();
  config::route bound;
  bound.home_regions = {"golfo", "stretto"};
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, bound), "10.0.0.3:1");
  bound.home_regions = {"stretto"};
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, bound), "");
}

TEST(remote_caches_test, unknown_and_cleared_services_have_no_source) {
  remote_caches caches = two_regions();
  EXPECT_EQ(caches.likely_source("other", {7, 900}, {}), "");
  caches.clear();
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, {}), "");
}

}  // namespace
}  // namespace trestlepost::gateway

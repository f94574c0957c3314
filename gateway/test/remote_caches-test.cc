// Tests the choice of the remote endpoint from which cached prompt sections are
// copied.
#include "trestlepost/gateway/remote_caches.h"

#include <gtest/gtest.h>

#include <set>

namespace trestlepost::gateway {
namespace {

bool permits_all(const std::string&) {
  return true;
}

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
    const std::string first =
        caches.likely_source("lm", {id, 900}, permits_all);
    EXPECT_EQ(caches.likely_source("lm", {id, 900}, permits_all), first);
    seen.insert(first);
  }
  const std::set<std::string> largest{"10.0.0.1:1", "10.0.0.2:1"};
  EXPECT_EQ(seen, largest);
}

TEST(remote_caches_test, regions_that_may_not_cache_the_request_are_ignored) {
  const remote_caches caches = two_regions();
  const region_filter golfo = [](const std::string& it) {
    return it == "golfo";
  };
  const region_filter stretto = [](const std::string& it) {
    return it == "stretto";
  };
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, golfo), "10.0.0.3:1");
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, stretto), "");
}

TEST(remote_caches_test, unknown_and_cleared_services_have_no_source) {
  remote_caches caches = two_regions();
  EXPECT_EQ(caches.likely_source("other", {7, 900}, permits_all), "");
  caches.clear();
  EXPECT_EQ(caches.likely_source("lm", {7, 900}, permits_all), "");
}

}  // namespace
}  // namespace trestlepost::gateway

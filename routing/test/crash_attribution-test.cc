// Attribution of endpoint crashes to requests, independent of the order of
// reports.
#include "trestlepost/routing/crash_attribution.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "attribution_fixture.h"

namespace trestlepost::routing {
namespace {

using test::after;

const monotonic_time start = after(0);

class crash_attribution_test : public test::attribution_fixture {
 protected:
  /// Reports a crash of `endpoint` at `ms` while it runs `requests`.
  void crash(const std::string& endpoint, int ms,
             const std::vector<std::string>& requests) {
    for (const std::string& it : requests) {
      attribution_.record_crash({it, endpoint, "s", after(ms)}, after(ms));
    }
  }
};

TEST_F(crash_attribution_test, three_crashes_propose_a_hold_once) {
  crash("a", 0, {"x"});
  crash("b", 10, {"x"});
  EXPECT_TRUE(proposals(1000).empty());
  crash("c", 1100, {"x"});
  EXPECT_TRUE(proposals(1200).empty())
      << "reports of other gateways may still arrive";
  EXPECT_EQ(proposals(1300), std::vector<std::string>{"x"});
  crash("d", 1400, {"x"});
  EXPECT_TRUE(proposals(5000).empty());
}

TEST_F(crash_attribution_test, duplicate_reports_count_once) {
  for (int n = 0; n < 4; ++n) crash("a", 100 * n, {"x"});
  EXPECT_EQ(attribution_.attributed_crashes("x"), 1U);
}

TEST_F(crash_attribution_test, a_restarted_endpoint_can_crash_again) {
  for (int n = 0; n < 3; ++n) crash("a", 3000 * n, {"x"});
  EXPECT_EQ(attribution_.attributed_crashes("x"), 3U);
}

TEST_F(crash_attribution_test, requests_with_fewer_crashes_are_not_attributed) {
  crash("a", 0, {"x", "h"});
  crash("b", 10, {"x"});
  crash("c", 20, {"h", "x"});
  crash("d", 30, {"x", "h"});
  EXPECT_EQ(attribution_.attributed_crashes("h"), 0U);
  EXPECT_EQ(proposals(1000), std::vector<std::string>{"x"});
}

TEST_F(crash_attribution_test, a_success_clears_earlier_crashes) {
  crash("a", 0, {"h"});
  crash("b", 10, {"h"});
  attribution_.record_success("h", after(20));
  crash("c", 5000, {"h"});
  crash("d", 5010, {"h"});
  EXPECT_TRUE(proposals(9000).empty());
  crash("e", 9000, {"h"});
  EXPECT_EQ(proposals(9500), std::vector<std::string>{"h"});
}

TEST_F(crash_attribution_test,
       a_late_report_of_a_crash_before_a_success_is_ignored) {
  attribution_.record_success("h", after(100));
  attribution_.record_crash({"h", "a", "s", after(50)}, after(200));
  EXPECT_FALSE(attribution_.has_crashes("h"));
}

TEST_F(crash_attribution_test, a_recent_success_delays_the_hold_proposal) {
  attribution_.record_success("h", after(0));
  crash("a", 10, {"h"});
  crash("b", 20, {"h"});
  crash("c", 30, {"h"});
  EXPECT_TRUE(proposals(1000).empty());
  EXPECT_EQ(proposals(4000), std::vector<std::string>{"h"});
}

TEST_F(crash_attribution_test, a_released_request_starts_without_crashes) {
  for (const char* it : {"a", "b", "c"}) crash(it, 0, {"x"});
  EXPECT_EQ(proposals(500).size(), 1U);
  attribution_.forget("x", after(500));
  crash("d", 3000, {"x"});
  EXPECT_TRUE(proposals(4000).empty());
}

// Guards against a request that is held again right after an operator released
// it: gateways repeat their reports of crashes for several seconds.
TEST_F(crash_attribution_test, reports_repeated_after_a_release_are_ignored) {
  for (const char* it : {"a", "b", "c"}) crash(it, 0, {"x"});
  EXPECT_EQ(proposals(500).size(), 1U);
  attribution_.forget("x", after(500));
  for (const char* it : {"a", "b", "c"})
    attribution_.record_crash({"x", it, "s", after(0)}, after(1000));
  EXPECT_FALSE(attribution_.has_crashes("x"));
  EXPECT_TRUE(proposals(5000).empty());
}

TEST_F(crash_attribution_test, suspects_are_returned_once) {
  crash("a", 0, {"x"});
  EXPECT_TRUE(attribution_.take_suspects().empty());
  crash("b", 0, {"x"});
  EXPECT_EQ(attribution_.take_suspects(), std::vector<std::string>{"x"});
  EXPECT_TRUE(attribution_.take_suspects().empty());
}

TEST(crash_attribution_bounds_test, the_oldest_crash_is_dropped_first) {
  crash_attribution_limits limits;
  limits.max_crashes = 3;
  crash_attribution attribution(limits);
  for (int n = 0; n < 6; ++n) {
    const std::string name = std::to_string(n);
    attribution.record_crash({"r" + name, "e" + name, "s", after(n)}, after(n));
  }
  EXPECT_FALSE(attribution.has_crashes("r2"));
  EXPECT_TRUE(attribution.has_crashes("r3"));
}

// The order of reports and duplicates must not affect the result.
RC_GTEST_PROP(crash_attribution_property, the_order_of_reports_does_not_matter,
              ()) {
  std::vector<crash_report> all;
  const int crashes = *rc::gen::inRange(1, 12);
  for (int n = 0; n < crashes; ++n) {
    const std::string endpoint = "e" + std::to_string(n);
    const int runs = *rc::gen::inRange(1, 6);
    for (int i = 0; i < runs; ++i) {
      const std::string request = "r" + std::to_string(*rc::gen::inRange(0, 5));
      all.push_back({request, endpoint, "s", after(50 * n)});
    }
  }
  crash_attribution one;
  for (const crash_report& it : all) one.record_crash(it, start);
  crash_attribution other;
  std::vector<std::size_t> order(all.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  for (std::size_t i = order.size(); i > 1; --i) {
    const std::size_t j = *rc::gen::inRange<std::size_t>(0, i);
    std::swap(order[i - 1], order[j]);
  }
  for (const std::size_t i : order) {
    other.record_crash(all[i], start);
    other.record_crash(all[i], start);
  }
  for (int n = 0; n < 5; ++n) {
    const std::string request = "r" + std::to_string(n);
    RC_ASSERT(one.attributed_crashes(request) ==
              other.attributed_crashes(request));
  }
}

}  // namespace
}  // namespace trestlepost::routing

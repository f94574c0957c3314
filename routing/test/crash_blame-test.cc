// Attribution of endpoint crashes to requests, independent of the order of
// reports.
#include "trestlepost/routing/crash_blame.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

const monotonic_time start = monotonic_time(std::chrono::hours(1));

monotonic_time after(int ms) {
  return start + milliseconds(ms);
}

class crash_blame_test : public testing::Test {
 protected:
  /// Reports a crash of `endpoint` at `ms` while it runs `requests`.
  void crash(const std::string& endpoint, int ms,
             const std::vector<std::string>& requests) {
    for (const std::string& it : requests) {
      blame_.crashed({it, endpoint, "s", after(ms)}, after(ms));
    }
  }

  std::vector<std::string> verdicts(int ms) {
    std::vector<std::string> out;
    for (const crash_verdict& it : blame_.take_verdicts(after(ms))) {
      out.push_back(it.fingerprint);
    }
    return out;
  }

  crash_blame blame_;
};

TEST_F(crash_blame_test, three_endpoints_that_crash_condemn_a_request_once) {
  crash("a", 0, {"x"});
  crash("b", 10, {"x"});
  EXPECT_TRUE(verdicts(1000).empty());
  crash("c", 1100, {"x"});
  EXPECT_TRUE(verdicts(1200).empty()) << "other reports may still come";
  EXPECT_EQ(verdicts(1300), std::vector<std::string>{"x"});
  crash("d", 1400, {"x"});
  EXPECT_TRUE(verdicts(5000).empty());
}

TEST_F(crash_blame_test, a_report_that_comes_twice_counts_once) {
  for (int n = 0; n < 4; ++n) crash("a", 100 * n, {"x"});
  EXPECT_EQ(blame_.counted("x"), 1U);
}

TEST_F(crash_blame_test, an_endpoint_that_came_back_can_crash_again) {
  for (int n = 0; n < 3; ++n) crash("a", 3000 * n, {"x"});
  EXPECT_EQ(blame_.counted("x"), 3U);
}

TEST_F(crash_blame_test, what_ran_beside_one_that_met_more_is_not_to_blame) {
  crash("a", 0, {"x", "h"});
  crash("b", 10, {"x"});
  crash("c", 20, {"h", "x"});
  crash("d", 30, {"x", "h"});
  EXPECT_EQ(blame_.counted("h"), 0U);
  EXPECT_EQ(verdicts(1000), std::vector<std::string>{"x"});
}

TEST_F(crash_blame_test, a_good_end_takes_all_blame_back) {
  crash("a", 0, {"h"});
  crash("b", 10, {"h"});
  blame_.ended_well("h", after(20));
  crash("c", 5000, {"h"});
  crash("d", 5010, {"h"});
  EXPECT_TRUE(verdicts(9000).empty());
  crash("e", 9000, {"h"});
  EXPECT_EQ(verdicts(9500), std::vector<std::string>{"h"});
}

TEST_F(crash_blame_test, a_late_report_of_a_crash_before_a_good_end_is_void) {
  blame_.ended_well("h", after(100));
  blame_.crashed({"h", "a", "s", after(50)}, after(200));
  EXPECT_FALSE(blame_.is_accused("h"));
}

TEST_F(crash_blame_test, one_that_ended_well_a_moment_ago_is_not_condemned) {
  blame_.ended_well("h", after(0));
  crash("a", 10, {"h"});
  crash("b", 20, {"h"});
  crash("c", 30, {"h"});
  EXPECT_TRUE(verdicts(1000).empty());
  EXPECT_EQ(verdicts(4000), std::vector<std::string>{"h"});
}

TEST_F(crash_blame_test, a_released_request_begins_anew) {
  for (const char* it : {"a", "b", "c"}) crash(it, 0, {"x"});
  EXPECT_EQ(verdicts(500).size(), 1U);
  blame_.forget("x");
  crash("d", 3000, {"x"});
  EXPECT_TRUE(verdicts(4000).empty());
}

TEST_F(crash_blame_test, suspects_are_told_once) {
  crash("a", 0, {"x"});
  EXPECT_TRUE(blame_.take_suspects().empty());
  crash("b", 0, {"x"});
  EXPECT_EQ(blame_.take_suspects(), std::vector<std::string>{"x"});
  EXPECT_TRUE(blame_.take_suspects().empty());
}

TEST(crash_blame_bounds_test, the_oldest_crash_is_forgotten_first) {
  crash_blame_limits limits;
  limits.most_crashes = 3;
  crash_blame blame(limits);
  for (int n = 0; n < 6; ++n) {
    const std::string name = std::to_string(n);
    blame.crashed({"r" + name, "e" + name, "s", after(n)}, after(n));
  }
  EXPECT_FALSE(blame.is_accused("r2"));
  EXPECT_TRUE(blame.is_accused("r3"));
}

// The order of reports and duplicates must not affect the result.
RC_GTEST_PROP(crash_blame_property, the_order_of_reports_does_not_matter, ()) {
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
  crash_blame one;
  for (const crash_report& it : all) one.crashed(it, start);
  crash_blame other;
  std::vector<std::size_t> order(all.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  for (std::size_t i = order.size(); i > 1; --i) {
    const std::size_t j = *rc::gen::inRange<std::size_t>(0, i);
    std::swap(order[i - 1], order[j]);
  }
  for (const std::size_t i : order) {
    other.crashed(all[i], start);
    other.crashed(all[i], start);
  }
  for (int n = 0; n < 5; ++n) {
    const std::string request = "r" + std::to_string(n);
    RC_ASSERT(one.counted(request) == other.counted(request));
  }
}

}  // namespace
}  // namespace trestlepost::routing

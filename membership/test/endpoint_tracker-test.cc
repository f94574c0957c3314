// Tests of endpoint states, ejections, ramp-up, limits and load estimates.
#include "trestlepost/membership/endpoint_tracker.h"

#include <gtest/gtest.h>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

class endpoint_tracker_test : public testing::Test {
 protected:
  endpoint_tracker_test()
      : tracker_(charts::chart::load(
                     std::string(TRESTLEPOST_CHARTS) + "/endpoint.jsonc",
                     endpoint_chart_interface())
                     .value(),
                 {}) {
    declare(false);
  }

  void declare(bool drained) {
    std::vector<endpoint_tracker::declared_endpoint> all;
    for (const char* name : {"a", "b", "c", "d"}) {
      all.push_back(
          {name, "s", std::string(name) + ":1", 8, drained && name[0] == 'a'});
    }
    tracker_.declare(all, now_);
    tracker_.tick(now_);
  }

  const endpoint_view view(const std::string& name) {
    for (const endpoint_view& it : tracker_.all_views(now_)) {
      if (it.name == name) return it;
    }
    return {};
  }

  monotonic_time now_{milliseconds(100'000)};
  endpoint_tracker tracker_;
};

TEST_F(endpoint_tracker_test, each_source_stops_new_work) {
  tracker_.platform_listed("a:1", true, now_);
  EXPECT_FALSE(view("a").usable);
  tracker_.connection_refused("b", now_);
  EXPECT_FALSE(view("b").usable);
  tracker_.platform_listed("a:1", false, now_);
  EXPECT_TRUE(view("a").usable);
  declare(true);
  EXPECT_FALSE(view("a").usable);
}

TEST_F(endpoint_tracker_test, a_drain_outlasts_the_platforms_list) {
  declare(true);
  tracker_.platform_listed("a:1", true, now_);
  tracker_.platform_listed("a:1", false, now_);
  EXPECT_FALSE(view("a").usable);
  declare(false);
  EXPECT_TRUE(view("a").usable);
}

TEST_F(endpoint_tracker_test, failures_eject_half_of_the_endpoints_at_most) {
  for (const char* name : {"a", "b", "c", "d"}) {
    for (int i = 0; i < 5; ++i) tracker_.request_failed(name, now_);
  }
  int usable = 0;
  for (const endpoint_view& it : tracker_.views("s", now_)) {
    usable += it.usable ? 1 : 0;
  }
  EXPECT_EQ(usable, 2);
}

TEST_F(endpoint_tracker_test, an_endpoint_that_returns_ramps_up) {
  tracker_.connection_refused("a", now_);
  now_ += milliseconds(1000);
  tracker_.tick(now_);
  ASSERT_TRUE(view("a").usable);
  EXPECT_NEAR(view("a").limit, 2, 0.01);
  now_ += milliseconds(4000);
  EXPECT_NEAR(view("a").limit, 5, 0.01);
  now_ += milliseconds(4000);
  tracker_.tick(now_);
  EXPECT_EQ(view("a").state, endpoint_states::serving);
  EXPECT_NEAR(view("a").limit, 8, 0.01);
}

TEST_F(endpoint_tracker_test, ejections_grow_longer) {
  tracker_.connection_refused("a", now_);
  now_ += milliseconds(1000);
  tracker_.tick(now_);
  tracker_.connection_refused("a", now_);
  now_ += milliseconds(1500);
  tracker_.tick(now_);
  EXPECT_FALSE(view("a").usable);
  now_ += milliseconds(500);
  tracker_.tick(now_);
  EXPECT_TRUE(view("a").usable);
}

TEST_F(endpoint_tracker_test, the_limit_follows_what_the_engine_reports) {
  for (int i = 0; i < 10; ++i) tracker_.report("a", {8, 6, now_, 0});
  EXPECT_LT(view("a").limit, 4);
  for (int i = 0; i < 40; ++i) tracker_.report("a", {3, 0, now_, 0});
  EXPECT_NEAR(view("a").limit, 8, 0.5);
}

TEST_F(endpoint_tracker_test, a_report_is_a_hint_that_ages) {
  tracker_.report("a", {10, 0, now_, 0});
  EXPECT_NEAR(view("a").load, 10, 0.01);
  now_ += milliseconds(2500);
  EXPECT_NEAR(view("a").load, 5, 0.01);
  now_ += milliseconds(5000);
  EXPECT_NEAR(view("a").load, 0, 0.01);
}

}  // namespace
}  // namespace trestlepost::membership

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

TEST_F(endpoint_tracker_test, each_source_can_make_an_endpoint_unusable) {
  tracker_.platform_listed("a:1", true, now_);
  EXPECT_FALSE(view("a").usable);
  tracker_.connection_refused("b", now_);
  EXPECT_FALSE(view("b").usable);
  tracker_.platform_listed("a:1", false, now_);
  EXPECT_TRUE(view("a").usable);
  declare(true);
  EXPECT_FALSE(view("a").usable);
}

// The ends of requests to an earlier address reduced the count of those to the
// present one.
TEST_F(endpoint_tracker_test, requests_are_counted_while_the_address_changes) {
  for (int n = 0; n < 2; ++n) tracker_.request_started("a");
  tracker_.declare({{"a", "s", "a:2", 8, false}}, now_);
  for (int n = 0; n < 3; ++n) tracker_.request_started("a");
  EXPECT_EQ(view("a").own_in_flight, 5U);
  for (int n = 0; n < 2; ++n) tracker_.request_ended("a");
  EXPECT_EQ(view("a").own_in_flight, 3U);
  tracker_.declare({}, now_);
  EXPECT_TRUE(tracker_.own_in_flight().empty());
  tracker_.declare({{"a", "s", "a:2", 8, false}}, now_);
  EXPECT_EQ(view("a").own_in_flight, 3U);
  for (int n = 0; n < 3; ++n) tracker_.request_ended("a");
  EXPECT_EQ(view("a").own_in_flight, 0U);
}

TEST_F(endpoint_tracker_test, a_drain_overrides_the_platforms_list) {
  declare(true);
  tracker_.platform_listed("a:1", true, now_);
  tracker_.platform_listed("a:1", false, now_);
  EXPECT_FALSE(view("a").usable);
  declare(false);
  EXPECT_TRUE(view("a").usable);
}

TEST_F(endpoint_tracker_test, failures_eject_at_most_half_of_the_endpoints) {
  for (const char* name : {"a", "b", "c", "d"}) {
    for (int i = 0; i < 5; ++i) tracker_.request_failed(name, now_);
  }
  int usable = 0;
  for (const endpoint_view& it : tracker_.views("s", now_)) {
    usable += it.usable ? 1 : 0;
  }
  EXPECT_EQ(usable, 2);
}

TEST_F(endpoint_tracker_test, a_returned_endpoint_ramps_up) {
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

TEST_F(endpoint_tracker_test, repeated_ejections_last_longer) {
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

TEST_F(endpoint_tracker_test, the_limit_follows_load_reports) {
  for (int i = 0; i < 10; ++i) tracker_.report("a", {8, 6, now_, 0});
  EXPECT_LT(view("a").limit, 4);
  for (int i = 0; i < 40; ++i) tracker_.report("a", {3, 0, now_, 0});
  EXPECT_NEAR(view("a").limit, 8, 0.5);
}

TEST_F(endpoint_tracker_test, a_load_report_loses_weight_with_age) {
  tracker_.report("a", {10, 0, now_, 0});
  EXPECT_NEAR(view("a").load, 10, 0.01);
  now_ += milliseconds(2500);
  EXPECT_NEAR(view("a").load, 5, 0.01);
  now_ += milliseconds(5000);
  EXPECT_NEAR(view("a").load, 0, 0.01);
}

// A gateway that is partitioned from all endpoints learned of each by itself.
TEST_F(endpoint_tracker_test,
       several_failures_without_success_are_a_partition) {
  tracker_.endpoint_unreached("a", now_);
  tracker_.endpoint_unreached("a", now_);
  tracker_.endpoint_unreached("b", now_);
  EXPECT_FALSE(tracker_.is_unreachable("s"));
  tracker_.endpoint_unreached("c", now_ + milliseconds(10));
  EXPECT_EQ(tracker_.unreachable_since("s"), now_);
  EXPECT_EQ(tracker_.unreachable_services(), std::set<std::string>{"s"});
  tracker_.endpoint_reached("d", now_);
  EXPECT_FALSE(tracker_.is_unreachable("s"));
}

TEST_F(endpoint_tracker_test, failures_between_successes_are_no_partition) {
  for (const char* name : {"a", "b", "c", "a", "b", "c"}) {
    tracker_.endpoint_unreached(name, now_);
    tracker_.endpoint_reached("d", now_);
  }
  tracker_.endpoint_unreached("a", now_);
  EXPECT_FALSE(tracker_.is_unreachable("s"));
}

// A gateway whose connections opened while nothing was answered went on to send
// requests to its endpoints.
TEST_F(endpoint_tracker_test, requests_without_any_answer_are_a_partition) {
  tracker_.endpoint_reached("d", now_);
  const monotonic_time sent_at = now_ + milliseconds(1);
  now_ += milliseconds(1000);
  for (const char* name : {"a", "b", "c"}) {
    EXPECT_FALSE(tracker_.is_unreachable("s"));
    tracker_.endpoint_unanswered(name, sent_at, now_);
  }
  EXPECT_EQ(tracker_.unreachable_since("s"), now_);
  tracker_.endpoint_reached("a", now_);
  EXPECT_FALSE(tracker_.is_unreachable("s"));
}

TEST_F(endpoint_tracker_test, slow_answers_between_others_are_no_partition) {
  const monotonic_time sent_at = now_;
  now_ += milliseconds(1000);
  tracker_.endpoint_reached("d", now_ - milliseconds(1));
  for (const char* name : {"a", "b", "c", "d"})
    tracker_.endpoint_unanswered(name, sent_at, now_);
  EXPECT_FALSE(tracker_.is_unreachable("s"));
}

// After a partition, endpoints stayed ejected for up to half a minute.
TEST_F(endpoint_tracker_test, the_end_of_a_partition_ends_ejections) {
  for (const char* name : {"a", "b", "c", "d"}) {
    tracker_.endpoint_unreached(name, now_);
    tracker_.connection_refused(name, now_);
  }
  EXPECT_TRUE(tracker_.all_ejected("s"));
  tracker_.endpoint_reached("a", now_);
  EXPECT_FALSE(tracker_.all_ejected("s"));
  for (const char* name : {"a", "b", "c", "d"}) {
    EXPECT_TRUE(view(name).usable) << name;
  }
}

}  // namespace
}  // namespace trestlepost::membership

// Tests a gateway's limiter and its collector: what is counted once, what is
// given back, and what happens when the collector changes.
#include "trestlepost/usage/shared_limiter.h"

#include <gtest/gtest.h>

#include "trestlepost/usage/usage_collector.h"

namespace trestlepost::usage {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds interval{150};

config::organisation_ptr organisation_with(double rate, double burst) {
  config::organisation out;
  out.name = "acme";
  out.limit = config::usage_limit{rate, burst, config::usage_unit::tokens, 200};
  return std::make_shared<const config::organisation>(out);
}

class shared_limiter_test : public testing::Test {
 protected:
  shared_limiter_test() { set_limit(1000, 1000); }

  void set_limit(double rate, double burst) {
    acme_ = organisation_with(rate, burst);
    table_.update({acme_});
  }

  /// Lets one interval pass, with a report and its answer.
  void exchange() {
    now_ += interval;
    collector_.tick(table_, 1, now_);
    limiter_.handle(collector_.handle(limiter_.make_report(now_), now_), now_);
  }

  void exchange(int n) {
    for (int i = 0; i < n; ++i) exchange();
  }

  usage_decision decide(double amount) {
    limiter_.record_request(*acme_, amount, now_);
    return limiter_.admit(*acme_, amount, now_);
  }

  bool admit(double amount) { return decide(amount).admitted; }

  double used() { return collector_.sums(now_).counts["acme"].used; }

  seeded_random random_{1};
  monotonic_time now_{std::chrono::seconds(100)};
  config::organisation_ptr acme_;
  routing::organisation_table table_;
  usage_collector collector_{"c-1", "north"};
  shared_limiter limiter_{"g-1", random_};
};

TEST_F(shared_limiter_test, usage_is_counted_once_by_repeated_reports) {
  exchange(10);
  EXPECT_TRUE(admit(300));
  const usage_report lost = limiter_.make_report(now_);
  const usage_report second = limiter_.make_report(now_);
  EXPECT_EQ(second.counts, lost.counts);
  collector_.handle(second, now_);
  collector_.handle(second, now_);
  EXPECT_EQ(used(), 300);
  exchange();
  EXPECT_EQ(used(), 300);
  EXPECT_TRUE(limiter_.make_report(now_).counts.empty());
}

// Guards against usage that is counted from what an earlier process had
// reported, and against answers to that process.
TEST_F(shared_limiter_test, a_restarted_gateway_begins_a_session_of_its_own) {
  exchange(10);
  EXPECT_TRUE(admit(300));
  exchange();
  const usage_reply late = collector_.handle(limiter_.make_report(now_), now_);
  shared_limiter restarted("g-1", random_);
  restarted.record_request(*acme_, 400, now_);
  restarted.handle(late, now_);
  EXPECT_TRUE(restarted.is_learning(now_));
  restarted.handle(collector_.handle(restarted.make_report(now_), now_), now_);
  EXPECT_TRUE(restarted.admit(*acme_, 400, now_).admitted);
  collector_.handle(restarted.make_report(now_), now_);
  EXPECT_EQ(used(), 700);
}

TEST_F(shared_limiter_test, an_amount_given_back_is_not_used) {
  exchange(10);
  EXPECT_TRUE(admit(900));
  exchange();
  limiter_.give_back("acme", 900);
  exchange();
  EXPECT_EQ(used(), 0);
  EXPECT_TRUE(admit(900));
}

TEST_F(shared_limiter_test, a_new_collector_counts_only_what_was_not_reported) {
  exchange(10);
  EXPECT_TRUE(admit(300));
  exchange();
  EXPECT_TRUE(admit(200));
  limiter_.begin_session();
  collector_ = usage_collector("c-2", "north");
  exchange();
  EXPECT_EQ(used(), 200);
}

TEST_F(shared_limiter_test, a_restarted_collector_ignores_the_old_session) {
  exchange(10);
  EXPECT_TRUE(admit(300));
  exchange();
  collector_ = usage_collector("c-1 restarted", "north");
  exchange();
  EXPECT_EQ(used(), 0);
  EXPECT_TRUE(admit(100));
  exchange(2);
  EXPECT_EQ(used(), 100);
}

TEST_F(shared_limiter_test, without_a_collector_it_uses_an_equal_part) {
  limiter_.set_gateway_count(10);
  EXPECT_FALSE(admit(50));
  now_ += std::chrono::seconds(60);
  EXPECT_TRUE(admit(50));
  EXPECT_TRUE(admit(50));
  EXPECT_FALSE(admit(50));
  const usage_decision refused = decide(50);
  EXPECT_GE(refused.retry_after, milliseconds(500));
  EXPECT_LE(refused.retry_after, milliseconds(1000));
}

TEST_F(shared_limiter_test, an_exhausted_limit_refuses_and_names_a_time) {
  exchange(20);
  double admitted = 0;
  for (int i = 0; i < 200; ++i) {
    for (int n = 0; n < 10; ++n) {
      if (admit(100)) admitted += 100;
    }
    exchange();
  }
  // 30 seconds at 1,000 a second, and the burst.
  EXPECT_NEAR(admitted, 31'000, 1500);
}

TEST_F(shared_limiter_test, organisations_without_a_limit_are_not_counted) {
  config::organisation one;
  one.name = "free";
  EXPECT_TRUE(limiter_.admit(one, 1e15, now_).admitted);
  EXPECT_TRUE(limiter_.make_report(now_).counts.empty());
}

// A gateway that took a part of 0 for the limit would refuse the second request
// after each start of a collector.
TEST_F(shared_limiter_test, a_collector_that_has_just_started_is_no_contact) {
  const usage_report report = limiter_.make_report(now_);
  limiter_.handle(collector_.handle(report, now_), now_);
  EXPECT_FALSE(limiter_.has_collector(now_));
  exchange();
  EXPECT_TRUE(limiter_.has_collector(now_));
}

// Guards against a gateway that, after the restart of its collector alone,
// takes its part of the limit for all of it.
TEST_F(shared_limiter_test, a_collector_that_restarts_alone_refuses_nothing) {
  limiter_.set_gateway_count(10);
  exchange(40);
  EXPECT_TRUE(admit(100));
  collector_ = usage_collector("c-1 restarted", "north");
  exchange(3);
  EXPECT_TRUE(admit(400));
}

// Two collectors of one region are heard in turn while gateways change between
// them; the region was never silent, so nothing is forgiven.
TEST_F(shared_limiter_test, usage_counts_when_a_region_changes_its_collector) {
  usage_collector here("c-here", "north");
  const usage_report report{"g-1", 1, 1, {{"acme", {1, 1}}}, {}};
  const auto step = [&](const char* collector, double used) {
    now_ += interval;
    here.handle(report, now_);
    here.handle(region_usage{"south", collector, {{"acme", {used, used}}}},
                now_);
    here.tick(table_, 2, now_);
  };
  step("c-a", 0);
  step("c-b", 0);
  for (int n = 0; n < 10; ++n) step("c-b", 0);
  const auto level = [&] {
    return here.handle(report, now_).levels.at("acme").level;
  };
  set_limit(1000, 100);
  step("c-b", 0);
  step("c-a", 900);
  EXPECT_LT(level(), -500);
}

// Guards against a gateway that has just started and refuses everybody, or
// waits for a collector that does not answer.
TEST_F(shared_limiter_test, requests_wait_briefly_for_a_first_answer) {
  limiter_.record_request(*acme_, 100, now_);
  EXPECT_TRUE(limiter_.is_learning(now_ + milliseconds(900)));
  EXPECT_FALSE(limiter_.is_learning(now_ + milliseconds(1000)));
}

// Guards against requests that wait at a gateway that restarts alone, although
// its collector knows the demand.
TEST_F(shared_limiter_test, requests_wait_longer_only_for_a_new_collector) {
  exchange();
  limiter_.record_request(*acme_, 100, now_);
  EXPECT_TRUE(limiter_.is_learning(now_));
  for (int n = 0; n < 40; ++n) {
    now_ += interval;
    collector_.tick(table_, 1, now_);
  }
  shared_limiter other("g-2", random_);
  other.record_request(*acme_, 100, now_);
  EXPECT_TRUE(other.is_learning(now_));
  other.handle(collector_.handle(other.make_report(now_), now_), now_);
  EXPECT_FALSE(other.is_learning(now_));
}

// Guards against collectors that restart together and do not know what others
// were asked for before they heard of each other.
TEST_F(shared_limiter_test, first_sums_of_collectors_that_restart_count) {
  exchange();
  const region_usage sums{"south", "c-2", {{"acme", {6000, 0}}}, true};
  collector_.handle(sums, now_);
  exchange();
  const usage_reply reply = collector_.handle(limiter_.make_report(now_), now_);
  EXPECT_GT(reply.levels.at("acme").demand, 6000);
}

// Guards against a collector that takes what another has counted for a long
// time for new requests.
TEST_F(shared_limiter_test, first_sums_of_an_older_collector_do_not_count) {
  exchange();
  const region_usage sums{"south", "c-2", {{"acme", {6000, 0}}}, false};
  collector_.handle(sums, now_);
  exchange();
  EXPECT_FALSE(collector_.handle(limiter_.make_report(now_), now_)
                   .levels.contains("acme"));
}

// Guards against a region whose usage is forgiven whole, if this collector
// started while the region was cut off.
TEST_F(shared_limiter_test,
       a_region_unheard_since_the_start_had_only_its_part) {
  limiter_.record_request(*acme_, 1, now_);
  const usage_report report = limiter_.make_report(now_);
  for (int n = 0; n < 8; ++n) {
    now_ += interval;
    collector_.tick(table_, 2, now_);
    collector_.handle(report, now_);
  }
  const region_usage sums{"south", "c-2", {{"acme", {3000, 3000}}}, true};
  collector_.handle(sums, now_);
  const usage_reply reply = collector_.handle(report, now_);
  ASSERT_TRUE(reply.levels.contains("acme"));
  EXPECT_LT(reply.levels.at("acme").level, -1000);
}

// The region cut off keeps one part of three, and nothing that it had saved.
TEST_F(shared_limiter_test, a_region_that_hears_no_other_has_its_part) {
  for (int n = 0; n < 20; ++n) {
    now_ += interval;
    collector_.tick(table_, 3, now_);
    const usage_report report = limiter_.make_report(now_);
    EXPECT_NEAR(collector_.handle(report, now_).part, 1.0 / 3, 1e-9);
  }
  collector_.handle(region_usage{"south", "c-2", {}}, now_);
  collector_.handle(region_usage{"west", "c-3", {}}, now_);
  collector_.tick(table_, 3, now_ + interval);
  const usage_report report = limiter_.make_report(now_);
  EXPECT_NEAR(collector_.handle(report, now_).part, 1, 1e-9);
}

}  // namespace
}  // namespace trestlepost::usage

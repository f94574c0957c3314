// Acceptance probabilities, and their effect on the choice between endpoints of
// which some reject every request.
#include "trestlepost/routing/acceptance_estimator.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "trestlepost/base/random.h"
#include "trestlepost/routing/engine_choice.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr monotonic_time start{seconds(1000)};

TEST(acceptance_estimator_test, a_place_without_outcomes_is_trusted) {
  const acceptance_estimator it;
  EXPECT_DOUBLE_EQ(it.acceptance_probability("e1", start), 1);
}

TEST(acceptance_estimator_test,
     rejections_lower_the_probability_and_it_recovers) {
  acceptance_estimator it;
  it.record_rejected("e1", start);
  EXPECT_DOUBLE_EQ(it.acceptance_probability("e1", start), 0.5);
  it.record_rejected("e1", start);
  EXPECT_NEAR(it.acceptance_probability("e1", start), 1.0 / 3, 1e-9);
  it.record_accepted("e1", start);
  EXPECT_DOUBLE_EQ(it.acceptance_probability("e1", start), 0.5);
  EXPECT_GT(it.acceptance_probability("e1", start + seconds(15)), 0.95);
  EXPECT_DOUBLE_EQ(it.acceptance_probability("e2", start), 1);
}

TEST(acceptance_estimator_test, removed_places_lose_their_outcomes) {
  acceptance_estimator it;
  it.record_rejected("e1", start);
  it.retain([](const std::string& place) { return place != "e1"; });
  EXPECT_DOUBLE_EQ(it.acceptance_probability("e1", start), 1);
}

// Twelve endpoints, seven of which reject every request immediately for six
// seconds and therefore look idle. A gateway sends 60 requests per second. An
// accepted request occupies its endpoint for 300 ms, and the wait time grows
// with the number of running requests.
struct rejecting_region {
  static constexpr int endpoints = 12;
  static constexpr int rejecting = 7;
  static constexpr milliseconds request_interval{1000 / 60};
  static constexpr milliseconds run_time{300};
  static constexpr milliseconds wait_per_request{40};

  std::vector<std::vector<monotonic_time>> ends =
      std::vector<std::vector<monotonic_time>>(endpoints);

  milliseconds wait(int endpoint, monotonic_time now) {
    std::erase_if(ends[endpoint],
                  [now](monotonic_time end) { return end <= now; });
    return wait_per_request * static_cast<int>(ends[endpoint].size());
  }
};

/// Returns the share of requests accepted by the first endpoint tried.
double accepted_share(bool use_estimates) {
  rejecting_region region;
  acceptance_estimator known;
  constexpr int requests = 360;
  const latency_requirements wanted{milliseconds(800), seconds(3)};
  int taken = 0;
  for (int n = 0; n < requests; ++n) {
    const monotonic_time now = start + n * rejecting_region::request_interval;
    std::vector<engine_candidate> all;
    for (int e = 0; e < rejecting_region::endpoints; ++e) {
      engine_candidate one;
      // Requests differ in where their prompts are cached.
      one.expected.wait = region.wait(e, now);
      one.expected.first_token = one.expected.wait + milliseconds((n + e) % 30);
      one.expected.finish = one.expected.first_token + milliseconds(200);
      if (use_estimates)
        one.acceptance_probability =
            known.acceptance_probability(std::to_string(e), now);
      all.push_back(one);
    }
    const int chosen = static_cast<int>(*choose_engine(all, wanted));
    if (chosen < rejecting_region::rejecting) {
      known.record_rejected(std::to_string(chosen), now);
      continue;
    }
    known.record_accepted(std::to_string(chosen), now);
    region.ends[chosen].push_back(now + rejecting_region::run_time);
    ++taken;
  }
  return static_cast<double>(taken) / requests;
}

TEST(acceptance_estimator_test,
     endpoints_that_reject_everything_get_few_requests) {
  EXPECT_LT(accepted_share(false), 0.6);
  EXPECT_GT(accepted_share(true), 0.85);
}

TEST(engine_choice_test, a_likely_rejection_outweighs_a_shorter_wait) {
  const latency_requirements wanted{milliseconds(800), seconds(3)};
  engine_candidate idle;
  idle.acceptance_probability = 0.5;
  engine_candidate busy;
  busy.expected.first_token = milliseconds(300);
  EXPECT_EQ(choose_engine({idle, busy}, wanted), 1U);
}

}  // namespace
}  // namespace trestlepost::routing

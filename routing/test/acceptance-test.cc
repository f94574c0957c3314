// Acceptance probabilities, and their effect on the choice between endpoints of
// which some reject every request.
#include "trestlepost/routing/acceptance.h"

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

TEST(acceptance_test, what_is_not_known_is_trusted) {
  const acceptance it;
  EXPECT_DOUBLE_EQ(it.chance("e1", start), 1);
}

TEST(acceptance_test, each_rejection_lowers_the_chance_and_it_comes_back) {
  acceptance it;
  it.rejected("e1", start);
  EXPECT_DOUBLE_EQ(it.chance("e1", start), 0.5);
  it.rejected("e1", start);
  EXPECT_NEAR(it.chance("e1", start), 1.0 / 3, 1e-9);
  it.taken("e1", start);
  EXPECT_DOUBLE_EQ(it.chance("e1", start), 0.5);
  EXPECT_GT(it.chance("e1", start + seconds(15)), 0.95);
  EXPECT_DOUBLE_EQ(it.chance("e2", start), 1);
}

TEST(acceptance_test, places_that_are_gone_are_forgotten) {
  acceptance it;
  it.rejected("e1", start);
  it.keep([](const std::string& place) { return place != "e1"; });
  EXPECT_DOUBLE_EQ(it.chance("e1", start), 1);
}

// Twelve endpoints, seven of which reject every request immediately for six
// seconds and therefore look idle. A gateway sends 60 requests per second. An
// accepted request occupies its endpoint for 300 ms, and the wait time grows
// with the number of running requests.
struct rejecting_region {
  static constexpr int endpoints = 12;
  static constexpr int rejecting = 7;
  static constexpr milliseconds between{1000 / 60};
  static constexpr milliseconds hold{300};
  static constexpr milliseconds each{40};  // wait time per running request

  std::vector<std::vector<monotonic_time>> ends =
      std::vector<std::vector<monotonic_time>>(endpoints);

  milliseconds wait(int endpoint, monotonic_time now) {
    std::erase_if(ends[endpoint],
                  [now](monotonic_time end) { return end <= now; });
    return each * static_cast<int>(ends[endpoint].size());
  }
};

/// Returns the share of requests accepted by the first endpoint tried.
double share_taken(bool learns) {
  rejecting_region region;
  acceptance known;
  constexpr int requests = 360;
  const expectation wanted{milliseconds(800), seconds(3)};
  int taken = 0;
  for (int n = 0; n < requests; ++n) {
    const monotonic_time now = start + n * rejecting_region::between;
    std::vector<engine_candidate> all;
    for (int e = 0; e < rejecting_region::endpoints; ++e) {
      engine_candidate one;
      // Requests differ in where their prompts are cached.
      one.expected.wait = region.wait(e, now);
      one.expected.first_token = one.expected.wait + milliseconds((n + e) % 30);
      one.expected.finish = one.expected.first_token + milliseconds(200);
      if (learns) one.chance = known.chance(std::to_string(e), now);
      all.push_back(one);
    }
    const int chosen = static_cast<int>(*choose_engine(all, wanted));
    if (chosen < rejecting_region::rejecting) {
      known.rejected(std::to_string(chosen), now);
      continue;
    }
    known.taken(std::to_string(chosen), now);
    region.ends[chosen].push_back(now + rejecting_region::hold);
    ++taken;
  }
  return static_cast<double>(taken) / requests;
}

TEST(acceptance_test, endpoints_that_reject_everything_get_little) {
  EXPECT_LT(share_taken(false), 0.6);
  EXPECT_GT(share_taken(true), 0.85);
}

TEST(engine_choice_test, a_likely_rejection_outweighs_a_shorter_wait) {
  const expectation wanted{milliseconds(800), seconds(3)};
  engine_candidate idle;
  idle.chance = 0.5;
  engine_candidate busy;
  busy.expected.first_token = milliseconds(300);
  EXPECT_EQ(choose_engine({idle, busy}, wanted), 1U);
}

}  // namespace
}  // namespace trestlepost::routing

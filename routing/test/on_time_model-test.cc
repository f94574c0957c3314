// Tests that the model learns from outcomes under a load that predictions do
// not contain: a wave of urgent requests that delays those already sent.
#include "trestlepost/routing/on_time_model.h"

#include <gtest/gtest.h>

#include "trestlepost/routing/completion_estimate.h"

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

TEST(on_time_model_test, without_observations_it_is_the_prior) {
  const on_time_model model;
  EXPECT_DOUBLE_EQ(model.probability(0), 1);
  EXPECT_NEAR(model.probability(0.9), on_time_model::prior(0.9), 0.05);
  EXPECT_DOUBLE_EQ(model.probability(3), 0);
}

// During the wave, requests predicted at half of their objective are late, so
// another region, or a refusal, is worth more than a place at these engines.
TEST(on_time_model_test, learns_that_predictions_are_too_early) {
  on_time_model model;
  for (int n = 0; n < 60; ++n) model.record(0.5, n % 4 == 0);
  EXPECT_NEAR(model.probability(0.5), 0.25, 0.1);
  EXPECT_GT(model.probability(0.1), 0.9);
  const completion_estimate busy{milliseconds(250), milliseconds(300),
                                 milliseconds(400), milliseconds(0)};
  latency_requirements wanted{milliseconds(600), milliseconds(3000)};
  const double before = expected_value(busy, wanted);
  wanted.on_time = &model;
  EXPECT_LT(expected_value(busy, wanted), before - 0.3);
}

TEST(on_time_model_test, recovers_after_the_wave) {
  on_time_model model;
  for (int n = 0; n < 60; ++n) model.record(0.5, false);
  for (int n = 0; n < 100; ++n) model.record(0.5, true);
  EXPECT_GT(model.probability(0.5), 0.9);
}

}  // namespace
}  // namespace trestlepost::routing

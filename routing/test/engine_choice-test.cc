// Choice between cached prompts, short waits and few running responses.
#include "trestlepost/routing/engine_choice.h"

#include <gtest/gtest.h>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

constexpr latency_requirements wanted{milliseconds(1000), milliseconds(12'000)};

engine_candidate make_candidate(int first_token_ms, double duplicate_prefill) {
  const milliseconds first(first_token_ms);
  return {{first, first, first + milliseconds(3000)}, duplicate_prefill};
}

TEST(engine_choice_test, a_cached_prompt_is_preferred_while_it_is_on_time) {
  EXPECT_EQ(
      choose_engine({make_candidate(100, 0.4), make_candidate(500, 0)}, wanted),
      1U);
}

TEST(engine_choice_test, a_prompt_is_prefilled_again_if_it_would_be_late) {
  EXPECT_EQ(choose_engine({make_candidate(100, 0.4), make_candidate(1100, 0)},
                          wanted),
            0U);
}

TEST(engine_choice_test, equal_candidates_are_ordered_by_first_token) {
  EXPECT_EQ(
      choose_engine({make_candidate(200, 0), make_candidate(100, 0)}, wanted),
      1U);
}

TEST(engine_choice_test, endpoints_with_few_running_responses_are_preferred) {
  engine_candidate crowded = make_candidate(100, 0);
  crowded.expected.delay_to_others = milliseconds(4000);
  EXPECT_EQ(choose_engine({crowded, make_candidate(150, 0)}, wanted), 1U);
}

TEST(engine_choice_test, without_an_objective_the_earliest_first_token_wins) {
  const latency_requirements any{milliseconds(0), milliseconds(1000)};
  EXPECT_EQ(
      choose_engine({make_candidate(200, 0), make_candidate(100, 0)}, any), 1U);
  EXPECT_FALSE(choose_engine({}, any));
}

}  // namespace
}  // namespace trestlepost::routing

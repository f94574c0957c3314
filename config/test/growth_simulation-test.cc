// Checks the simulated control group under faults: growth from one seed,
// replaced machines and concurrent plans. Also checks that the properties
// detect a group in which one safety mechanism is disabled.
#include "growth_simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace trestlepost::config::test {
namespace {

constexpr std::uint64_t seeds_per_injected_fault = 150;

/// Whether a run with `options` violates `property` for at least one seed.
bool is_detected_by(const std::string& property, growth_options options) {
  for (std::uint64_t seed = 1; seed <= seeds_per_injected_fault; ++seed) {
    options.seed = seed;
    if (simulate_growth(options).violated(property)) return true;
  }
  return false;
}

RC_GTEST_PROP(growth_simulation_test, properties_hold_under_faults, ()) {
  growth_options options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.tolerated_losses = *rc::gen::inRange<std::size_t>(1, 3);
  const growth_outcome outcome = simulate_growth(options);
  for (const violation& it : outcome.violations) {
    RC_LOG() << it.property << ": " << it.what << "\n";
  }
  RC_LOG() << "seed " << options.seed << "\n";
  RC_ASSERT(outcome.violations.empty());
  RC_CLASSIFY(outcome.simultaneous_losses > 1,
              "disks lost again after the repair");
}

TEST(growth_simulation_test, schedules_cover_all_faults) {
  growth_outcome sum;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    growth_options options;
    options.seed = seed;
    const growth_outcome outcome = simulate_growth(options);
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed;
    sum.acknowledged += outcome.acknowledged;
    sum.reads += outcome.reads;
    sum.leaders += outcome.leaders;
    sum.simultaneous_losses += outcome.simultaneous_losses;
    sum.initial_losses += outcome.initial_losses;
    sum.moves += outcome.moves;
    sum.replaced += outcome.replaced;
    sum.retired += outcome.retired;
    sum.largest_group = std::max(sum.largest_group, outcome.largest_group);
  }
  EXPECT_GT(sum.acknowledged, 4000U);
  EXPECT_GT(sum.reads, 2000U);
  EXPECT_GT(sum.leaders, 240U);
  EXPECT_GT(sum.simultaneous_losses, 160U);
  EXPECT_GT(sum.initial_losses, 40U);
  EXPECT_GT(sum.moves, 20U);
  EXPECT_GT(sum.replaced, 80U);
  EXPECT_GT(sum.retired, 4U);
  EXPECT_GE(sum.largest_group, 6U);
}

TEST(growth_simulation_test, early_acknowledgement_is_detected) {
  growth_options options;
  options.acknowledge_early = true;
  EXPECT_TRUE(is_detected_by(no_plan_lost, options));
}

TEST(growth_simulation_test, reused_incarnation_is_detected) {
  growth_options options;
  options.reuse_incarnation = true;
  EXPECT_TRUE(is_detected_by(no_plan_lost, options));
  EXPECT_TRUE(is_detected_by(identical_logs, options));
}

TEST(growth_simulation_test, missing_number_check_is_detected) {
  growth_options options;
  options.skip_number_check = true;
  EXPECT_TRUE(is_detected_by(highest_number_in_force, options));
  EXPECT_TRUE(is_detected_by(unique_content, options));
}

TEST(growth_simulation_test, unconfirmed_read_is_detected) {
  growth_options options;
  options.reads = read_mode::unconfirmed;
  EXPECT_TRUE(is_detected_by(no_plan_lost, options));
}

// A follower may answer a read only after it has applied as much as the leader
// that confirmed the read.
TEST(growth_simulation_test, premature_follower_read_is_detected) {
  growth_options options;
  options.reads = read_mode::copy_at_once;
  EXPECT_TRUE(is_detected_by(no_plan_lost, options));
}

TEST(growth_simulation_test, quorum_round_trip_suffices_for_reads) {
  growth_options options;
  options.reads = read_mode::round_only;
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    options.seed = seed;
    EXPECT_TRUE(simulate_growth(options).violations.empty()) << "seed " << seed;
  }
}

TEST(growth_simulation_test, second_founding_is_detected) {
  growth_options options;
  options.found_at_every_start = true;
  EXPECT_TRUE(is_detected_by(single_group, options));
}

}  // namespace
}  // namespace trestlepost::config::test

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

constexpr std::uint64_t seeds_for_broken_mechanisms = 150;

/// Whether a run with `options` violates `property` for at least one seed.
bool is_caught_by(const std::string& property, growth_options options) {
  for (std::uint64_t seed = 1; seed <= seeds_for_broken_mechanisms; ++seed) {
    options.seed = seed;
    if (simulate_growth(options).broke(property)) return true;
  }
  return false;
}

RC_GTEST_PROP(growth_simulation_test, what_was_acknowledged_holds_under_faults,
              ()) {
  growth_options options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  options.tolerated_losses = *rc::gen::inRange<std::size_t>(1, 3);
  const growth_outcome outcome = simulate_growth(options);
  for (const violation& it : outcome.violations) {
    RC_LOG() << it.property << ": " << it.what << "\n";
  }
  RC_LOG() << "seed " << options.seed << "\n";
  RC_ASSERT(outcome.violations.empty());
  RC_CLASSIFY(outcome.losses_at_once > 1, "disks lost again after the repair");
}

TEST(growth_simulation_test, the_schedules_reach_the_faults) {
  growth_outcome sum;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    growth_options options;
    options.seed = seed;
    const growth_outcome outcome = simulate_growth(options);
    EXPECT_TRUE(outcome.violations.empty()) << "seed " << seed;
    sum.acknowledged += outcome.acknowledged;
    sum.reads += outcome.reads;
    sum.leaders += outcome.leaders;
    sum.losses_at_once += outcome.losses_at_once;
    sum.losses_of_young_group += outcome.losses_of_young_group;
    sum.moves += outcome.moves;
    sum.replaced += outcome.replaced;
    sum.retired += outcome.retired;
    sum.largest_group = std::max(sum.largest_group, outcome.largest_group);
  }
  EXPECT_GT(sum.acknowledged, 4000U);
  EXPECT_GT(sum.reads, 2000U);
  EXPECT_GT(sum.leaders, 240U);
  EXPECT_GT(sum.losses_at_once, 160U);
  EXPECT_GT(sum.losses_of_young_group, 40U);
  EXPECT_GT(sum.moves, 20U);
  EXPECT_GT(sum.replaced, 80U);
  EXPECT_GT(sum.retired, 4U);
  EXPECT_GE(sum.largest_group, 6U);
}

TEST(growth_simulation_test, an_acknowledgement_by_one_voter_is_caught) {
  growth_options options;
  options.acknowledge_early = true;
  EXPECT_TRUE(is_caught_by(nothing_lost, options));
}

TEST(growth_simulation_test, a_lost_disk_under_its_old_incarnation_is_caught) {
  growth_options options;
  options.reuse_incarnation = true;
  EXPECT_TRUE(is_caught_by(nothing_lost, options));
  EXPECT_TRUE(is_caught_by(same_log, options));
}

TEST(growth_simulation_test, a_plan_that_holds_because_it_is_last_is_caught) {
  growth_options options;
  options.skip_number_check = true;
  EXPECT_TRUE(is_caught_by(highest_number_holds, options));
  EXPECT_TRUE(is_caught_by(one_content, options));
}

TEST(growth_simulation_test, an_unconfirmed_read_is_caught) {
  growth_options options;
  options.reads = read_mode::unconfirmed;
  EXPECT_TRUE(is_caught_by(nothing_lost, options));
}

// A follower may answer a read only after it has applied as much as the leader
// that confirmed the read.
TEST(growth_simulation_test, a_copy_that_is_shown_at_once_is_caught) {
  growth_options options;
  options.reads = read_mode::copy_at_once;
  EXPECT_TRUE(is_caught_by(nothing_lost, options));
}

TEST(growth_simulation_test, a_round_of_the_quorum_suffices_for_reads) {
  growth_options options;
  options.reads = read_mode::round_only;
  for (std::uint64_t seed = 1; seed <= 15; ++seed) {
    options.seed = seed;
    EXPECT_TRUE(simulate_growth(options).violations.empty()) << "seed " << seed;
  }
}

TEST(growth_simulation_test, a_second_founding_is_caught) {
  growth_options options;
  options.found_at_every_start = true;
  EXPECT_TRUE(is_caught_by(one_group, options));
}

}  // namespace
}  // namespace trestlepost::config::test

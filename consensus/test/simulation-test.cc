// Simulates groups under random faults. Also injects a defect in each safety
// mechanism and checks that the simulation detects it.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "simulation.h"

namespace trestlepost::consensus::test {
namespace {

constexpr std::uint64_t seeds_per_defect = 150;

/// First seed whose simulation detects the injected defect, or 0.
std::uint64_t first_detecting_seed(simulation_options options) {
  for (std::uint64_t seed = 1; seed <= seeds_per_defect; ++seed) {
    options.seed = seed;
    const simulation_outcome outcome = simulate(options);
    if (!outcome.violations.empty()) return seed;
  }
  return 0;
}

RC_GTEST_PROP(simulation_test, acknowledged_entries_survive_faults, ()) {
  simulation_options options;
  options.seed = *rc::gen::arbitrary<std::uint64_t>();
  const simulation_outcome outcome = simulate(options);
  for (const std::string& it : outcome.violations) RC_LOG() << it << "\n";
  RC_LOG() << "seed " << options.seed << "\n";
  RC_ASSERT(outcome.violations.empty());
  RC_ASSERT(outcome.converged);
  RC_CLASSIFY(outcome.disks_lost > 1, "two disks lost");
}

TEST(simulation_test, schedules_cover_the_faults) {
  std::size_t acknowledged = 0;
  std::size_t leaders = 0;
  std::size_t disks_lost = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    simulation_options options;
    options.seed = seed;
    const simulation_outcome outcome = simulate(options);
    acknowledged += outcome.acknowledged;
    leaders += outcome.leaders;
    disks_lost += outcome.disks_lost;
  }
  EXPECT_GT(acknowledged, 1000U);
  EXPECT_GT(leaders, 100U);
  EXPECT_GT(disks_lost, 25U);
}

TEST(simulation_test, a_skipped_sync_is_detected) {
  simulation_options options;
  options.skip_sync = true;
  options.lose_disks = false;
  EXPECT_GT(first_detecting_seed(options), 0U);
}

TEST(simulation_test, a_vote_without_the_log_check_is_detected) {
  simulation_options options;
  options.replica.skip_log_check = true;
  EXPECT_GT(first_detecting_seed(options), 0U);
}

TEST(simulation_test, a_lost_disk_with_its_old_incarnation_is_detected) {
  simulation_options options;
  options.reuse_incarnation = true;
  EXPECT_GT(first_detecting_seed(options), 0U);
}

TEST(simulation_test, a_promise_of_unwritten_entries_is_detected) {
  simulation_options options;
  options.replica.promise_before_write = true;
  options.lose_disks = false;
  EXPECT_GT(first_detecting_seed(options), 0U);
}

TEST(simulation_test, a_learner_that_votes_is_detected) {
  simulation_options options;
  options.replica.learners_vote = true;
  EXPECT_GT(first_detecting_seed(options), 0U);
}

}  // namespace
}  // namespace trestlepost::consensus::test

// Checks over many gateways and seeds that requests which crash their endpoints
// are held soon and harmless ones are not.
#include "crash_simulation.h"

#include <gtest/gtest.h>

namespace trestlepost::routing::test {
namespace {

constexpr int seeds = 12;
// For tests in which a mechanism is disabled.
constexpr int few_seeds = 3;
constexpr int most_sends_afterwards = 3;
// Limit for harmless requests. Those that ran beside a crash are retried, and
// may be hit again while dozens of endpoints crash.
constexpr double most_held_share = 0.001;

/// Returns the worst result of several seeds, and the sums of harmless
/// requests.
crash_outcome worst_of(crash_scenario scenario, int most_seeds = seeds) {
  crash_outcome out;
  for (int n = 1; n <= most_seeds; ++n) {
    scenario.seed = static_cast<std::uint64_t>(n);
    const crash_outcome one = simulate(scenario);
    out.sends_afterwards = std::max(out.sends_afterwards, one.sends_afterwards);
    out.crashes_by_worst = std::max(out.crashes_by_worst, one.crashes_by_worst);
    out.harmless += one.harmless;
    out.harmless_served += one.harmless_served;
    out.harmless_held += one.harmless_held;
  }
  std::printf(
      "sends afterwards %d, crashes %d, harmless %d, served %d, held %d\n",
      out.sends_afterwards, out.crashes_by_worst, out.harmless,
      out.harmless_served, out.harmless_held);
  return out;
}

void expect_kept(const crash_scenario& scenario) {
  const crash_outcome out = worst_of(scenario);
  EXPECT_LE(out.sends_afterwards, most_sends_afterwards);
  EXPECT_LE(out.harmless_held, most_held_share * out.harmless);
}

crash_scenario everything() {
  crash_scenario out;
  out.zones_crash = true;
  out.gateways_restart = true;
  out.leaders_change = true;
  out.judges_restart = true;
  out.gateways_suspended = true;
  out.lost_messages = 0.1;
  return out;
}

TEST(crash_simulation, lethal_requests_alone) {
  expect_kept({});
}

TEST(crash_simulation, few_endpoints_and_long_queues) {
  crash_scenario it;
  it.endpoints = 10;
  it.runs_at_once = 24;
  expect_kept(it);
}

TEST(crash_simulation, many_gateways) {
  crash_scenario it;
  it.gateways = 300;
  it.endpoints = 60;
  expect_kept(it);
}

TEST(crash_simulation, lost_zones_in_series_and_nothing_lethal) {
  crash_scenario it;
  it.lethal_kinds = 1;
  it.lethal_per_second = 0.001;
  it.zones_crash = true;
  expect_kept(it);
}

TEST(crash_simulation, all_disturbances_at_once) {
  expect_kept(everything());
}

TEST(crash_simulation, rare_lethal_requests) {
  crash_scenario it = everything();
  it.lethal_per_second = 0.7;
  expect_kept(it);
}

TEST(crash_simulation, a_harmless_request_that_comes_again_and_again) {
  crash_scenario it = everything();
  it.lethal_kinds = 6;
  it.returning_per_second = 20;
  expect_kept(it);
}

TEST(crash_simulation, most_messages_lost) {
  crash_scenario it;
  it.lethal_per_second = 1;
  it.lost_messages = 0.8;
  expect_kept(it);
}

// The checks detect each disabled mechanism.
TEST(crash_simulation, without_holds_too_many_are_sent) {
  crash_scenario it;
  it.endpoints = 10;
  it.without_holds = true;
  EXPECT_GT(worst_of(it, few_seeds).sends_afterwards, most_sends_afterwards);
}

TEST(crash_simulation, without_reports_sent_again_some_are_missed) {
  crash_scenario it;
  it.lethal_per_second = 1;
  it.lost_messages = 0.8;
  it.without_reports_sent_again = true;
  EXPECT_GT(worst_of(it).sends_afterwards, most_sends_afterwards);
}

TEST(crash_simulation, without_good_ends_harmless_ones_are_held) {
  crash_scenario it = everything();
  it.lethal_kinds = 6;
  it.returning_per_second = 20;
  it.without_good_ends = true;
  const crash_outcome out = worst_of(it, few_seeds);
  EXPECT_GT(out.harmless_held, most_held_share * out.harmless);
}

}  // namespace
}  // namespace trestlepost::routing::test

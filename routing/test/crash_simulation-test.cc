// Checks over many gateways and seeds that requests which crash their endpoints
// are held soon and harmless ones are not.
#include "crash_simulation.h"

#include <gtest/gtest.h>

namespace trestlepost::routing::test {
namespace {

constexpr int seeds = 12;
// For tests in which a mechanism is disabled.
constexpr int reduced_seeds = 3;
constexpr int max_late_sends = 3;
// Limit of held harmless requests, as a share of all harmless ones. A request
// that ran on a crashing endpoint is retried, and may run on further ones while
// dozens of endpoints crash.
constexpr double max_held_share = 0.001;

/// Returns the worst result of several seeds, and the sums of harmless
/// requests.
crash_outcome worst_of(crash_scenario scenario, int seed_count = seeds) {
  crash_outcome out;
  for (int n = 1; n <= seed_count; ++n) {
    scenario.seed = static_cast<std::uint64_t>(n);
    const crash_outcome one = simulate(scenario);
    out.late_sends = std::max(out.late_sends, one.late_sends);
    out.max_crashes_per_kind =
        std::max(out.max_crashes_per_kind, one.max_crashes_per_kind);
    out.harmless += one.harmless;
    out.harmless_served += one.harmless_served;
    out.harmless_held += one.harmless_held;
  }
  std::printf("late sends %d, crashes %d, harmless %d, served %d, held %d\n",
              out.late_sends, out.max_crashes_per_kind, out.harmless,
              out.harmless_served, out.harmless_held);
  return out;
}

void expect_within_limits(const crash_scenario& scenario) {
  const crash_outcome out = worst_of(scenario);
  EXPECT_LE(out.late_sends, max_late_sends);
  EXPECT_LE(out.harmless_held, max_held_share * out.harmless);
}

crash_scenario all_disturbances() {
  crash_scenario out;
  out.zones_crash = true;
  out.gateways_restart = true;
  out.leaders_change = true;
  out.control_nodes_restart = true;
  out.gateways_suspended = true;
  out.lost_messages = 0.1;
  return out;
}

/// Removes the lethal requests, so that nothing may be held.
crash_scenario without_lethal_requests(crash_scenario out) {
  out.lethal_kinds = 1;
  out.lethal_per_second = 0.001;
  return out;
}

TEST(crash_simulation, lethal_requests_without_disturbances) {
  expect_within_limits({});
}

TEST(crash_simulation, few_endpoints_and_long_queues) {
  crash_scenario it;
  it.endpoints = 10;
  it.concurrent_runs = 24;
  expect_within_limits(it);
}

TEST(crash_simulation, many_gateways) {
  crash_scenario it;
  it.gateways = 300;
  it.endpoints = 60;
  expect_within_limits(it);
}

TEST(crash_simulation, zone_crashes_in_series_without_lethal_requests) {
  crash_scenario it = without_lethal_requests({});
  it.zones_crash = true;
  expect_within_limits(it);
}

TEST(crash_simulation, all_disturbances_at_once) {
  expect_within_limits(all_disturbances());
}

TEST(crash_simulation, rare_lethal_requests) {
  crash_scenario it = all_disturbances();
  it.lethal_per_second = 0.7;
  expect_within_limits(it);
}

TEST(crash_simulation, a_repeated_harmless_request) {
  crash_scenario it = all_disturbances();
  it.lethal_kinds = 6;
  it.repeated_per_second = 20;
  expect_within_limits(it);
}

TEST(crash_simulation, most_messages_lost) {
  crash_scenario it;
  it.lethal_per_second = 1;
  it.lost_messages = 0.8;
  expect_within_limits(it);
}

/// Returns the scenario with prompts of parts, one of which is lethal.
crash_scenario with_lethal_parts(crash_scenario out = {}) {
  out.lethal_parts = true;
  out.lethal_per_second = 4;
  out.first_parts = 6;
  out.middle_parts = 300;
  return out;
}

TEST(crash_simulation, lethal_parts_without_disturbances) {
  expect_within_limits(with_lethal_parts());
}

TEST(crash_simulation, lethal_parts_among_few_endpoints) {
  crash_scenario it = with_lethal_parts();
  it.endpoints = 10;
  it.concurrent_runs = 24;
  expect_within_limits(it);
}

TEST(crash_simulation, lethal_parts_and_many_gateways) {
  crash_scenario it = with_lethal_parts();
  it.gateways = 400;
  it.endpoints = 60;
  expect_within_limits(it);
}

TEST(crash_simulation, lethal_parts_and_all_disturbances) {
  expect_within_limits(with_lethal_parts(all_disturbances()));
}

TEST(crash_simulation, seldom_lethal_parts) {
  crash_scenario it = with_lethal_parts(all_disturbances());
  it.lethal_per_second = 0.4;
  expect_within_limits(it);
}

TEST(crash_simulation, lethal_parts_and_half_of_the_messages_lost) {
  crash_scenario it = with_lethal_parts();
  it.lost_messages = 0.5;
  expect_within_limits(it);
}

TEST(crash_simulation, no_part_is_held_where_zones_crash_in_series) {
  crash_scenario it = without_lethal_requests(with_lethal_parts());
  it.zones_crash = true;
  const crash_outcome out = worst_of(it);
  EXPECT_EQ(out.harmless_held, 0);
}

TEST(crash_simulation, no_part_is_held_where_endpoints_crash_in_turn) {
  crash_scenario it = without_lethal_requests(with_lethal_parts());
  it.endpoints_crash_in_turn = true;
  const crash_outcome out = worst_of(it);
  EXPECT_EQ(out.harmless_held, 0);
}

TEST(crash_simulation, lethal_parts_while_endpoints_crash_in_turn) {
  crash_scenario it = with_lethal_parts(all_disturbances());
  it.endpoints_crash_in_turn = true;
  expect_within_limits(it);
}

// The following tests disable one mechanism each and expect that its limit is
// exceeded.
TEST(crash_simulation, without_holds_too_many_lethal_requests_are_sent) {
  crash_scenario it;
  it.endpoints = 10;
  it.without_holds = true;
  EXPECT_GT(worst_of(it, reduced_seeds).late_sends, max_late_sends);
}

TEST(crash_simulation, without_parts_lethal_parts_are_not_held) {
  crash_scenario it = with_lethal_parts();
  it.without_parts = true;
  EXPECT_GT(worst_of(it, reduced_seeds).late_sends, max_late_sends);
}

TEST(crash_simulation, without_success_reports_harmless_parts_are_held) {
  crash_scenario it = with_lethal_parts(all_disturbances());
  it.without_success_reports = true;
  const crash_outcome out = worst_of(it, reduced_seeds);
  EXPECT_GT(out.harmless_held, max_held_share * out.harmless);
}

TEST(crash_simulation, without_repeated_reports_some_crashes_are_missed) {
  crash_scenario it;
  it.lethal_per_second = 1;
  it.lost_messages = 0.8;
  it.without_repeated_reports = true;
  EXPECT_GT(worst_of(it).late_sends, max_late_sends);
}

TEST(crash_simulation, without_success_reports_harmless_requests_are_held) {
  crash_scenario it = all_disturbances();
  it.lethal_kinds = 6;
  it.repeated_per_second = 20;
  it.without_success_reports = true;
  const crash_outcome out = worst_of(it, reduced_seeds);
  EXPECT_GT(out.harmless_held, max_held_share * out.harmless);
}

}  // namespace
}  // namespace trestlepost::routing::test

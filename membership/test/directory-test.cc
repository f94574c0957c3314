// Tests which entries the directory returns while nodes or regions are silent,
// evacuated, partitioned or restarting.
#include "trestlepost/membership/directory.h"

#include <gtest/gtest.h>

#include "make_heartbeat.h"

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;
using test::make_heartbeat;

const monotonic_time start;

/// Names of the entries that a directory node of region `directory_region`
/// returns to callers of region "north".
std::vector<std::string> entries_for_north(
    const node_table& table, monotonic_time now,
    const std::string& directory_region = "north",
    const host_regions& host = {}) {
  entry_query query;
  query.near_region = "north";
  directory_options options;
  options.own_region = directory_region;
  std::vector<std::string> out;
  for (const entry_view& it : find_entries(table, query, host, options, now)) {
    out.push_back(it.node);
  }
  return out;
}

using node_names = std::vector<std::string>;

TEST(directory_test, only_entries_of_the_callers_region_are_returned) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  table.observe(make_heartbeat("s1", "south", 1), start);
  EXPECT_EQ(entries_for_north(table, start), node_names({"n1"}));
}

TEST(directory_test, an_unknown_region_has_no_entries) {
  node_table table;
  table.observe(make_heartbeat("s1", "south", 1), start);
  EXPECT_TRUE(entries_for_north(table, start).empty());
}

TEST(directory_test, a_silent_entry_is_omitted_if_another_one_is_live) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(700);
  table.observe(make_heartbeat("n2", "north", 1), later);
  EXPECT_EQ(entries_for_north(table, later), node_names({"n2"}));
}

TEST(directory_test, a_few_late_heartbeats_are_tolerated) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(590);
  table.observe(make_heartbeat("s1", "south", 1), later);
  EXPECT_EQ(entries_for_north(table, later), node_names({"n1"}));
}

TEST(directory_test, entries_of_other_regions_replace_silent_ones) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(700);
  table.observe(make_heartbeat("s1", "south", 1), later);
  EXPECT_EQ(entries_for_north(table, later), node_names({"s1"}));
}

TEST(directory_test, a_silent_remote_region_may_be_partitioned) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time suspected = start + milliseconds(1600);
  table.observe(make_heartbeat("s1", "south", 1), suspected);
  EXPECT_EQ(entries_for_north(table, start + milliseconds(1400), "south"),
            node_names({"n1"}));
  EXPECT_EQ(entries_for_north(table, suspected, "south"),
            node_names({"n1", "s1"}));
  const monotonic_time dead = start + milliseconds(6000);
  table.observe(make_heartbeat("s1", "south", 2), dead);
  EXPECT_EQ(entries_for_north(table, dead, "south"), node_names({"s1"}));
}

TEST(directory_test, a_node_without_contacts_returns_the_last_known_entries) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  table.observe(make_heartbeat("s1", "south", 1), start);
  EXPECT_EQ(entries_for_north(table, start + milliseconds(3000)),
            node_names({"n1"}));
}

TEST(directory_test, a_lost_region_is_replaced_by_home_regions_first) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(6000);
  table.observe(make_heartbeat("s1", "south", 1), later);
  table.observe(make_heartbeat("w1", "west", 1), later);
  EXPECT_EQ(entries_for_north(table, later, "north", {{"west"}, false}),
            node_names({"w1"}));
  EXPECT_EQ(entries_for_north(table, later, "north", {{"east"}, false}),
            node_names({"s1", "w1"}));
}

TEST(directory_test, bound_routes_stay_in_their_home_regions) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(6000);
  table.observe(make_heartbeat("s1", "south", 1), later);
  EXPECT_TRUE(
      entries_for_north(table, later, "north", {{"north", "west"}, true})
          .empty());
}

TEST(directory_test, callers_of_a_bound_host_get_entries_of_its_region) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  table.observe(make_heartbeat("s1", "south", 1), start);
  table.observe(make_heartbeat("w1", "west", 1), start);
  EXPECT_EQ(entries_for_north(table, start, "north", {{"west"}, true}),
            node_names({"w1"}));
  // Some routes of the host may be served in the caller's region.
  EXPECT_EQ(entries_for_north(table, start, "north", {{"west"}, false}),
            node_names({"n1"}));
}

TEST(directory_test, callers_of_an_evacuated_region_get_other_regions) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1), start);
  table.observe(make_heartbeat("s1", "south", 1), start);
  host_regions host;
  host.evacuated = {"north"};
  EXPECT_EQ(entries_for_north(table, start, "north", host), node_names({"s1"}));
  host.evacuated = {"north", "south"};
  EXPECT_EQ(entries_for_north(table, start, "north", host), node_names({"n1"}));
}

TEST(directory_test, a_partitioned_region_returns_last_known_remote_entries) {
  node_table table;
  table.observe(make_heartbeat("s1", "south", 1), start);
  const monotonic_time later = start + milliseconds(8000);
  table.observe(make_heartbeat("n1", "north", 1), later);
  const host_regions bound{{"south"}, true};
  EXPECT_EQ(entries_for_north(table, later, "north", bound),
            node_names({"s1"}));
  // Contact with another region shows that "south" itself is lost.
  table.observe(make_heartbeat("w1", "west", 1), later);
  EXPECT_EQ(entries_for_north(table, later, "north", bound),
            node_names({"n1"}));
}

TEST(directory_test, callers_of_a_restarting_region_get_home_regions_only) {
  node_table table;
  table.observe(make_heartbeat("n1", "north", 1, "draining"), start);
  table.observe(make_heartbeat("w1", "west", 1, "draining"), start);
  table.observe(make_heartbeat("s1", "south", 1), start);
  const host_regions homes{{"north", "west"}, false};
  EXPECT_TRUE(entries_for_north(table, start, "north", homes).empty());
  EXPECT_EQ(entries_for_north(table, start), node_names({"s1"}));
}

}  // namespace
}  // namespace trestlepost::membership

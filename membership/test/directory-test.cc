// Tests which entries the directory returns while nodes or regions are silent,
// evacuated, partitioned or restarting.
#include "trestlepost/membership/directory.h"

#include <gtest/gtest.h>

#include "heartbeats.h"

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;
using test::beat;

const monotonic_time start;

/// Names of the entries that a directory node of region `asked` returns to
/// callers of region "north".
std::vector<std::string> told(const node_table& table, monotonic_time now,
                              const std::string& asked = "north",
                              const host_regions& host = {}) {
  entry_query query;
  query.near_region = "north";
  directory_options options;
  options.own_region = asked;
  std::vector<std::string> out;
  for (const entry_view& it : entries_near(table, query, host, options, now)) {
    out.push_back(it.node);
  }
  return out;
}

using names = std::vector<std::string>;

TEST(directory_test, only_entries_of_the_callers_region_are_told) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  table.observe(beat("s1", "south", 1), start);
  EXPECT_EQ(told(table, start), names({"n1"}));
}

TEST(directory_test, nothing_is_told_of_a_region_that_is_not_known_yet) {
  node_table table;
  table.observe(beat("s1", "south", 1), start);
  EXPECT_TRUE(told(table, start).empty());
}

TEST(directory_test, a_silent_entry_is_left_out_beside_one_that_is_heard) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(700);
  table.observe(beat("n2", "north", 1), later);
  EXPECT_EQ(told(table, later), names({"n2"}));
}

TEST(directory_test, a_few_late_heartbeats_change_nothing) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(590);
  table.observe(beat("s1", "south", 1), later);
  EXPECT_EQ(told(table, later), names({"n1"}));
}

TEST(directory_test, entries_elsewhere_replace_those_that_fell_silent) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(700);
  table.observe(beat("s1", "south", 1), later);
  EXPECT_EQ(told(table, later), names({"s1"}));
}

TEST(directory_test, seen_from_elsewhere_a_silent_region_may_be_cut_off) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time suspected = start + milliseconds(1600);
  table.observe(beat("s1", "south", 1), suspected);
  EXPECT_EQ(told(table, start + milliseconds(1400), "south"), names({"n1"}));
  EXPECT_EQ(told(table, suspected, "south"), names({"n1", "s1"}));
  const monotonic_time dead = start + milliseconds(6000);
  table.observe(beat("s1", "south", 2), dead);
  EXPECT_EQ(told(table, dead, "south"), names({"s1"}));
}

TEST(directory_test, a_node_that_hears_nobody_still_names_who_was_there) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  table.observe(beat("s1", "south", 1), start);
  EXPECT_EQ(told(table, start + milliseconds(3000)), names({"n1"}));
}

TEST(directory_test, a_lost_region_is_replaced_by_the_homes_first) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(6000);
  table.observe(beat("s1", "south", 1), later);
  table.observe(beat("w1", "west", 1), later);
  EXPECT_EQ(told(table, later, "north", {{"west"}, false}), names({"w1"}));
  EXPECT_EQ(told(table, later, "north", {{"east"}, false}),
            names({"s1", "w1"}));
}

TEST(directory_test, bound_routes_never_lead_outside_their_homes) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  const monotonic_time later = start + milliseconds(6000);
  table.observe(beat("s1", "south", 1), later);
  EXPECT_TRUE(told(table, later, "north", {{"north", "west"}, true}).empty());
}

TEST(directory_test, callers_go_straight_to_where_a_bound_host_is_served) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  table.observe(beat("s1", "south", 1), start);
  table.observe(beat("w1", "west", 1), start);
  EXPECT_EQ(told(table, start, "north", {{"west"}, true}), names({"w1"}));
  // Some routes of the host may be served in the caller's region.
  EXPECT_EQ(told(table, start, "north", {{"west"}, false}), names({"n1"}));
}

TEST(directory_test, callers_of_an_evacuated_region_go_elsewhere) {
  node_table table;
  table.observe(beat("n1", "north", 1), start);
  table.observe(beat("s1", "south", 1), start);
  host_regions host;
  host.closed = {"north"};
  EXPECT_EQ(told(table, start, "north", host), names({"s1"}));
  host.closed = {"north", "south"};
  EXPECT_EQ(told(table, start, "north", host), names({"n1"}));
}

TEST(directory_test, a_region_cut_off_still_names_who_may_serve_elsewhere) {
  node_table table;
  table.observe(beat("s1", "south", 1), start);
  const monotonic_time later = start + milliseconds(8000);
  table.observe(beat("n1", "north", 1), later);
  const host_regions bound{{"south"}, true};
  EXPECT_EQ(told(table, later, "north", bound), names({"s1"}));
  // Contact with another region shows that "south" itself is lost.
  table.observe(beat("w1", "west", 1), later);
  EXPECT_EQ(told(table, later, "north", bound), names({"n1"}));
}

TEST(directory_test, callers_of_a_restarting_region_stay_within_the_homes) {
  node_table table;
  table.observe(beat("n1", "north", 1, "draining"), start);
  table.observe(beat("w1", "west", 1, "draining"), start);
  table.observe(beat("s1", "south", 1), start);
  const host_regions homes{{"north", "west"}, false};
  EXPECT_TRUE(told(table, start, "north", homes).empty());
  EXPECT_EQ(told(table, start), names({"s1"}));
}

}  // namespace
}  // namespace trestlepost::membership

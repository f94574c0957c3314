// Tests of the node table and the ranking of entries.
#include "trestlepost/membership/node_table.h"

#include <gtest/gtest.h>

#include "make_heartbeat.h"

#include "trestlepost/membership/directory.h"

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;
using test::make_heartbeat;

heartbeat gateway(const std::string& name, const std::string& region) {
  heartbeat out = make_heartbeat(name, region, 1);
  out.node.forward_address = "127.0.0.1:2";
  return out;
}

TEST(node_table_test, a_silent_node_becomes_suspect_then_dead) {
  node_table table;
  const monotonic_time start;
  table.observe(make_heartbeat("a", "isola", 1), start);
  const node_record& it = *table.find("a");
  EXPECT_EQ(table.state_of(it, start + milliseconds(1499)), peer_state::live);
  EXPECT_EQ(table.state_of(it, start + milliseconds(1500)),
            peer_state::suspect);
  EXPECT_EQ(table.state_of(it, start + milliseconds(5000)), peer_state::dead);
}

TEST(node_table_test, an_old_heartbeat_does_not_revive_a_node) {
  node_table table;
  const monotonic_time start;
  table.observe(make_heartbeat("a", "isola", 5), start);
  table.observe(make_heartbeat("a", "isola", 4), start + milliseconds(2000));
  EXPECT_FALSE(table.is_live("a", start + milliseconds(2000)));
}

TEST(node_table_test, a_summary_updates_only_its_own_region) {
  node_table table;
  region_summary summary;
  summary.region = "golfo";
  summary.nodes = {make_heartbeat("v1", "golfo", 1),
                   make_heartbeat("e1", "isola", 9)};
  table.observe(region_summary_from(to_json(summary)), monotonic_time());
  EXPECT_NE(table.find("v1"), nullptr);
  EXPECT_EQ(table.find("e1"), nullptr);
}

TEST(node_table_test, relays_are_two_live_nodes_of_the_region) {
  node_table table;
  const monotonic_time now;
  for (int i = 0; i < 9; ++i) {
    table.observe(make_heartbeat("n" + std::to_string(i), "isola", 1), now);
  }
  const std::vector<const node_record*> relays = table.relays_of("isola", now);
  ASSERT_EQ(relays.size(), relays_per_region);
  const std::string lost = relays[0]->last.node.name;
  for (int i = 0; i < 9; ++i) {
    const std::string name = "n" + std::to_string(i);
    if (name != lost) {
      table.observe(make_heartbeat(name, "isola", 2), now + milliseconds(2000));
    }
  }
  for (const node_record* it :
       table.relays_of("isola", now + milliseconds(2000))) {
    EXPECT_NE(it->last.node.name, lost);
  }
}

TEST(node_table_test, other_gateways_are_live_ones_of_the_own_region) {
  node_table table;
  const monotonic_time start;
  const monotonic_time now = start + milliseconds(2000);
  const heartbeat self = gateway("self", "isola");
  table.observe(self, now);
  table.observe(gateway("other", "isola"), now);
  table.observe(gateway("far", "golfo"), now);
  table.observe(gateway("silent", "isola"), start);
  table.observe(make_heartbeat("control", "isola", 1), now);
  const std::vector<const node_record*> others =
      table.other_gateways(self.node, now);
  ASSERT_EQ(others.size(), 1U);
  EXPECT_EQ(others[0]->last.node.name, "other");
}

// The gateways that send to a cold endpoint are chosen among these. A gateway
// without recent contact may still be sending. If it were omitted, another one
// would take its place while it still sends; if many gateways are suspended or
// have just started, each of the others would.
// Gateways that reach no endpoint are idle; they attracted forwarded requests.
TEST(node_table_test, gateways_without_endpoints_get_no_forwarded_requests) {
  node_table table;
  const monotonic_time start;
  region_summary summary;
  summary.region = "golfo";
  heartbeat cut_off = gateway("v1", "golfo");
  cut_off.unreachable_services = {"s"};
  summary.nodes = {cut_off, gateway("v2", "golfo")};
  table.observe(region_summary_from(to_json(summary)), start);
  const auto names = [&](const std::string& service, const node_info& self) {
    std::vector<std::string> out;
    for (const node_record* it :
         table.forward_targets("golfo", service, self, start)) {
      out.push_back(it->last.node.name);
    }
    return out;
  };
  const node_info elsewhere = gateway("e1", "isola").node;
  EXPECT_EQ(names("s", elsewhere), std::vector<std::string>{"v2"});
  EXPECT_EQ(names("t", elsewhere), (std::vector<std::string>{"v1", "v2"}));
  EXPECT_TRUE(names("s", gateway("v2", "golfo").node).empty());
}

TEST(node_table_test, a_suspect_gateway_is_a_possible_gateway) {
  node_table table;
  const monotonic_time start;
  const heartbeat self = gateway("self", "isola");
  table.observe(self, start);
  table.observe(gateway("silent", "isola"), start);
  table.observe(gateway("far", "golfo"), start);
  table.observe(make_heartbeat("control", "isola", 1), start);
  const milliseconds silent{4000};
  ASSERT_FALSE(table.is_live("silent", start + silent));
  const std::vector<const node_record*> others =
      table.possible_gateways(self.node, start + silent);
  ASSERT_EQ(others.size(), 1U);
  EXPECT_EQ(others[0]->last.node.name, "silent");
  const milliseconds dead{5000};
  EXPECT_TRUE(table.possible_gateways(self.node, start + dead).empty());
}

TEST(directory_test, ranks_by_state_distance_and_load) {
  node_table table;
  const monotonic_time now;
  table.observe(make_heartbeat("far", "golfo", 1), now);
  table.observe(make_heartbeat("cut", "isola", 1, "isolated"), now);
  table.observe(make_heartbeat("leaving", "isola", 1, "draining"), now);
  heartbeat busy = make_heartbeat("busy", "isola", 1);
  busy.services["s"].in_flight = 9;
  table.observe(busy, now);
  table.observe(make_heartbeat("idle", "isola", 1), now);
  const std::vector<entry_view> ranked =
      rank_entries(table, {"isola", "", {}}, now);
  ASSERT_EQ(ranked.size(), 4U);
  EXPECT_EQ(ranked[0].node, "idle");
  EXPECT_EQ(ranked[1].node, "busy");
  EXPECT_EQ(ranked[2].node, "far");
  EXPECT_EQ(ranked[3].node, "cut");
  EXPECT_EQ(rank_entries(table, {"isola", "", {"golfo"}}, now).size(), 1U);
}

}  // namespace
}  // namespace trestlepost::membership

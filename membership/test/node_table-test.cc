// Tests of the node table, the ranking of entries and the state of a node.
#include "trestlepost/membership/node_table.h"

#include <gtest/gtest.h>

#include "make_heartbeat.h"

#include "trestlepost/membership/directory.h"
#include "trestlepost/membership/node_state.h"

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

node_state make_state(monotonic_time now) {
  const result<charts::chart> chart = charts::chart::load(
      std::string(TRESTLEPOST_CHARTS) + "/node.jsonc", node_chart_interface());
  return {chart.value(), {}, now};
}

TEST(node_state_test, a_node_without_confirmation_becomes_isolated) {
  monotonic_time now;
  node_state it = make_state(now);
  EXPECT_FALSE(it.serves_callers());
  it.confirm(now, now);
  EXPECT_TRUE(it.crosses_regions());
  now += milliseconds(5001);
  it.tick(now, true);
  EXPECT_TRUE(it.is(node_states::isolated));
  EXPECT_TRUE(it.serves_callers());
  EXPECT_FALSE(it.crosses_regions());
}

TEST(node_state_test, a_confirmation_is_valid_from_its_request_time) {
  monotonic_time now;
  node_state it = make_state(now);
  const monotonic_time request_time = now;
  now += milliseconds(6000);  // suspended before the reply was read
  it.confirm(request_time, now);
  EXPECT_FALSE(it.crosses_regions());
}

TEST(node_state_test, a_node_without_configuration_keeps_waiting) {
  monotonic_time now;
  node_state it = make_state(now);
  it.tick(now += milliseconds(9000), false);
  EXPECT_FALSE(it.serves_callers());
  it.tick(now, true);
  EXPECT_TRUE(it.is(node_states::isolated));
}

TEST(node_state_test, a_node_catches_up_until_confirmed_or_timed_out) {
  const monotonic_time start;
  node_state it = make_state(start);
  EXPECT_TRUE(it.is_catching_up(start + milliseconds(1900)));
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(2000)));
  it.confirm(start, start + milliseconds(100));
  EXPECT_TRUE(it.is_catching_up(start + milliseconds(200)));
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(600)));
  // A later partition does not make the node catch up again.
  it.tick(start + milliseconds(9000), true);
  EXPECT_FALSE(it.is_catching_up(start + milliseconds(9000)));
}

TEST(node_state_test, a_suspended_node_is_behind_until_confirmed) {
  const monotonic_time start;
  node_state it = make_state(start);
  it.confirm(start, start);
  it.tick(start + milliseconds(3000), true);
  EXPECT_FALSE(it.is_behind(start + milliseconds(3999)));
  // A confirmation requested before the suspension does not count, however late
  // it is read.
  const monotonic_time resumed = start + milliseconds(4500);
  EXPECT_TRUE(it.is_behind(resumed));
  it.tick(resumed, true);
  it.confirm(start + milliseconds(3000), resumed);
  EXPECT_TRUE(it.is_behind(resumed));
  EXPECT_TRUE(it.is_catching_up(resumed));
  it.confirm(resumed, resumed + milliseconds(100));
  EXPECT_FALSE(it.is_behind(resumed + milliseconds(100)));
}

// Pending requests have already waited a second in the node's sockets, so the
// node must not wait long for a leader.
TEST(node_state_test, a_suspended_node_continues_without_a_leader) {
  const monotonic_time start;
  node_state it = make_state(start);
  it.tick(start, true);
  const monotonic_time resumed = start + milliseconds(1500);
  it.tick(resumed, true);
  EXPECT_TRUE(it.is_behind(resumed + milliseconds(200)));
  EXPECT_FALSE(it.is_behind(resumed + milliseconds(300)));
}

}  // namespace
}  // namespace trestlepost::membership

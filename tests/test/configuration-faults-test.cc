// Tests that the configuration stays consistent and available under killed and
// suspended leaders, lost disks, partitions and concurrent changes.
#include <gtest/gtest.h>

#include <thread>

#include "cluster.h"

namespace trestlepost::test {
namespace {

std::string region_with(const std::string& mark) {
  return R"({"regions": [{"name": "golfo", "labels": {"side": "north",
            "mark": ")" +
         mark + R"("}}]})";
}

std::string mark_at(cluster& it, const std::string& node) {
  json params;
  params["kind"] = "region";
  params["name"] = "golfo";
  const result<json> answer = it.rpc(node, "get", params);
  if (!answer) return "";
  return text_of((*answer)["objects"][0]["spec"]["labels"], "mark");
}

std::string status_of(const result<json>& outcome) {
  return outcome ? text_of(*outcome, "status") : outcome.error().message;
}

bool in_force_everywhere(cluster& it, const std::string& mark) {
  for (const std::string& node : it.nodes()) {
    if (!it.node_running(node)) continue;
    if (mark_at(it, node) != mark) return false;
  }
  return true;
}

std::string other_control_node(cluster& it, const std::string& than) {
  for (const std::string& name : it.control_nodes()) {
    if (name != than && it.node_running(name)) return name;
  }
  return {};
}

/// Returns whether all three control nodes are voters with their current
/// incarnation.
bool all_control_nodes_vote(cluster& it) {
  const std::string leader = it.leader();
  if (leader.empty()) return false;
  const json now = it.status(leader);
  const json members = member_of(member_of(now, "control"), "members");
  if (members.size() != 3) return false;
  for (const json& one : members) {
    const std::uint64_t own = it.incarnation(text_of(one, "node"));
    if (!flag_of(one, "voter")) return false;
    if (own == 0 || number_of(one, "incarnation") != own) return false;
  }
  return true;
}

TEST(configuration_faults_test, a_killed_leader_loses_no_accepted_change) {
  cluster it;
  it.bring_up();
  for (int i = 0; i < 3; ++i) {
    const std::string leader = it.wait_for_leader();
    const std::string mark = "before-kill-" + std::to_string(i);
    ASSERT_EQ(status_of(it.apply(leader, region_with(mark))), "accepted");
    it.kill_node(leader);
    ASSERT_TRUE(eventually([&] { return !it.leader().empty(); }));
    EXPECT_TRUE(eventually([&] { return in_force_everywhere(it, mark); }));
    it.start_node(leader);
    EXPECT_TRUE(eventually([&] { return mark_at(it, leader) == mark; }));
  }
}

TEST(configuration_faults_test, a_suspended_leader_resumes_as_a_follower) {
  cluster it;
  it.bring_up();
  const std::string frozen = it.wait_for_leader();
  it.freeze_node(frozen);
  const std::string other = other_control_node(it, frozen);
  ASSERT_TRUE(eventually([&] {
    const json now = it.status(other);
    const std::string seen = text_of(now, "leader");
    return !seen.empty() && seen != frozen;
  }));
  ASSERT_TRUE(eventually([&] {
    return status_of(it.apply(other, region_with("while-frozen"))) ==
           "accepted";
  }));
  it.thaw_node(frozen);
  EXPECT_TRUE(
      eventually([&] { return mark_at(it, frozen) == "while-frozen"; }));
  EXPECT_NE(it.leader(), frozen);
  const result<json> late = it.apply(frozen, region_with("after-thaw"));
  EXPECT_EQ(status_of(late), "accepted");
  EXPECT_TRUE(
      eventually([&] { return in_force_everywhere(it, "after-thaw"); }));
}

TEST(configuration_faults_test, disks_lost_one_after_another_lose_no_change) {
  cluster it;
  it.bring_up();
  std::string mark;
  for (const std::string& name : it.control_nodes()) {
    mark = "before-loss-of-" + name;
    ASSERT_TRUE(eventually([&] {
      return status_of(it.apply("golfo-2", region_with(mark))) == "accepted";
    }));
    it.kill_node(name);
    it.wipe_node(name);
    it.start_node(name);
    ASSERT_TRUE(eventually([&] { return all_control_nodes_vote(it); })) << name;
  }
  EXPECT_TRUE(eventually([&] { return in_force_everywhere(it, mark); }));
  EXPECT_EQ(status_of(it.apply("golfo-2", region_with("last"))), "accepted");
}

TEST(configuration_faults_test, two_lost_disks_block_changes_but_not_requests) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(status_of(it.apply("isola-1", region_with("kept"))), "accepted");
  ASSERT_TRUE(eventually([&] { return in_force_everywhere(it, "kept"); }));
  for (const char* name : {"isola-1", "stretto-1"}) {
    it.kill_node(name);
    it.wipe_node(name);
  }
  for (const char* name : {"isola-1", "stretto-1"}) it.start_node(name);
  ASSERT_TRUE(eventually([&] { return it.state("golfo-2") == "isolated"; }));
  const result<json> refused = it.apply("golfo-2", region_with("lost"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error().kind, error_kind::unavailable);
  EXPECT_FALSE(it.rpc("isola-1", "init")) << "a second group was founded";
  EXPECT_EQ(
      bench::send_and_wait(it.model_request("golfo-2", "mainland")).status,
      200U);
  EXPECT_EQ(mark_at(it, "golfo-1"), "kept");

  ASSERT_TRUE(it.rpc("golfo-1", "recover"));
  EXPECT_TRUE(eventually([&] { return all_control_nodes_vote(it); }));
  EXPECT_TRUE(eventually([&] { return it.state("isola-3") == "ready"; }));
  EXPECT_EQ(mark_at(it, "isola-1"), "kept");
  EXPECT_EQ(status_of(it.apply("isola-2", region_with("after"))), "accepted");
  EXPECT_TRUE(eventually([&] { return in_force_everywhere(it, "after"); }));
  EXPECT_FALSE(it.rpc("golfo-1", "recover")) << "the group has a leader";
}

TEST(configuration_faults_test,
     a_founder_with_a_lost_disk_founds_no_second_group) {
  cluster it;
  it.bring_up();
  const result<json> again = it.rpc("isola-1", "init");
  ASSERT_FALSE(again);
  EXPECT_EQ(again.error().kind, error_kind::conflict);
  it.kill_node("isola-1");
  it.wipe_node("isola-1");
  it.start_node("isola-1");
  ASSERT_TRUE(eventually([&] { return !it.status("isola-1").empty(); }));
  const result<json> empty = it.rpc("isola-1", "init");
  EXPECT_FALSE(empty);
  EXPECT_TRUE(eventually([&] { return all_control_nodes_vote(it); }));
  EXPECT_EQ(status_of(it.apply("isola-1", region_with("after"))), "accepted");
}

TEST(configuration_faults_test,
     a_partitioned_region_is_isolated_and_catches_up) {
  cluster it;
  it.bring_up();
  it.cut("golfo", "isola");
  it.cut("golfo", "stretto");
  ASSERT_TRUE(eventually([&] { return it.state("golfo-2") == "isolated"; }));
  ASSERT_TRUE(eventually([&] {
    return status_of(it.apply("isola-2", region_with("while-cut"))) ==
           "accepted";
  }));
  EXPECT_NE(mark_at(it, "golfo-1"), "while-cut");
  const result<json> refused = it.apply("golfo-1", region_with("from-inside"));
  EXPECT_FALSE(refused);
  it.heal();
  EXPECT_TRUE(eventually([&] { return it.state("golfo-2") == "ready"; }));
  EXPECT_TRUE(eventually([&] { return in_force_everywhere(it, "while-cut"); }));
}

/// Returns the region of a node, such as "isola" for "isola-2".
std::string region_of(const std::string& node) {
  return node.substr(0, node.find('-'));
}

TEST(configuration_faults_test,
     a_region_partitioned_from_the_leader_polls_through_another) {
  cluster it;
  it.bring_up();
  const std::string home = region_of(it.wait_for_leader());
  const std::string away = home == "golfo" ? "stretto" : "golfo";
  it.cut(home, away);
  // A restarted gateway becomes ready only after the leader has confirmed its
  // revision; a node of the third region forwards the request.
  const std::string gateway = away + "-2";
  it.kill_node(gateway);
  it.start_node(gateway);
  EXPECT_TRUE(eventually([&] { return it.state(gateway) == "ready"; }));
  it.heal();
}

TEST(configuration_faults_test, a_restart_of_all_nodes_keeps_many_changes) {
  cluster it;
  it.bring_up();
  constexpr int changes = 500;
  const std::string leader = it.wait_for_leader();
  std::uint64_t revision = 0;
  for (int i = 0; i < changes; ++i) {
    const result<json> outcome =
        it.apply(leader, region_with(std::to_string(i)));
    ASSERT_EQ(status_of(outcome), "accepted") << i;
    // it.revision(leader) may still be older than the result.
    revision = number_of(*outcome, "revision");
  }
  for (const std::string& node : it.nodes()) it.kill_node(node);
  for (const std::string& node : it.nodes()) it.start_node(node);
  EXPECT_TRUE(eventually([&] {
    for (const std::string& node : it.nodes()) {
      if (it.state(node) != "ready" || it.revision(node) != revision) {
        return false;
      }
    }
    return true;
  }));
  EXPECT_EQ(mark_at(it, "stretto-2"), std::to_string(changes - 1));
}

TEST(configuration_faults_test, exactly_one_of_concurrent_changes_is_accepted) {
  cluster it;
  it.bring_up();
  // The leader's status may still show an older revision than the accepted one.
  std::uint64_t base = it.revision(it.wait_for_leader());
  for (int round = 0; round < 5; ++round) {
    std::vector<result<json>> outcomes(4);
    std::vector<std::thread> operators;
    const std::vector<std::string> nodes = it.nodes();
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
      operators.emplace_back([&, i] {
        const std::string mark =
            "race-" + std::to_string(round) + "-" + std::to_string(i);
        outcomes[i] = it.apply(nodes[i + 2], region_with(mark), "", base);
      });
    }
    for (std::thread& one : operators) one.join();
    int accepted = 0;
    int conflicts = 0;
    for (const result<json>& one : outcomes) {
      conflicts += status_of(one) == "conflict" ? 1 : 0;
      if (status_of(one) != "accepted") continue;
      ++accepted;
      base = number_of(*one, "revision");
    }
    EXPECT_EQ(accepted, 1) << round;
    EXPECT_EQ(conflicts, 3) << round;
  }
}

TEST(configuration_faults_test, a_retried_change_gets_its_first_result) {
  cluster it;
  it.bring_up();
  const std::string first = it.wait_for_leader();
  const result<json> outcome = it.apply(first, region_with("once"), "change-1");
  ASSERT_EQ(status_of(outcome), "accepted");
  ASSERT_EQ(status_of(it.apply(first, region_with("later"))), "accepted");
  it.kill_node(first);
  const std::string other = other_control_node(it, first);
  ASSERT_TRUE(eventually([&] { return !it.leader().empty(); }));
  for (const std::string& node : {other, std::string("stretto-2")}) {
    const result<json> again = it.apply(node, region_with("once"), "change-1");
    ASSERT_EQ(status_of(again), "accepted") << node;
    EXPECT_EQ((*again)["revision"], (*outcome)["revision"]);
  }
  const result<json> other_change =
      it.apply(other, region_with("another"), "change-1");
  EXPECT_EQ(status_of(other_change), "mismatch");
  EXPECT_EQ(mark_at(it, other), "later");
}

TEST(configuration_faults_test, the_audit_log_records_operator_and_change) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(status_of(it.apply("isola-2", region_with("audited"), "c-ok")),
            "accepted");
  ASSERT_EQ(status_of(it.apply(
                "isola-2", R"({"regions": [{"name": "isola", "lables": {}}]})",
                "c-bad")),
            "test:1: region.lables: the key is unknown; did you mean "
            "\"labels\"?\n");
  ASSERT_EQ(status_of(it.apply("isola-2", region_with("late"), "c-late", 1)),
            "conflict");
  json filter;
  filter["name"] = "golfo";
  const result<json> by_object = it.rpc("golfo-2", "audit", filter);
  ASSERT_TRUE(by_object) << by_object.error().message;
  EXPECT_EQ(text_of((*by_object)["records"][0], "change_id"), "c-ok");
  EXPECT_EQ(text_of((*by_object)["records"][0], "operator"), "operator-found");
  const result<json> all = it.rpc("golfo-2", "audit");
  ASSERT_TRUE(all);
  EXPECT_EQ(text_of((*all)["records"][0], "change_id"), "c-late");
  EXPECT_EQ(text_of((*all)["records"][0]["outcome"], "status"), "conflict");
}

}  // namespace
}  // namespace trestlepost::test

// Tests that run-once requests run at most once under resends and faults, by
// the run log of the endpoints.
#include <gtest/gtest.h>

#include <thread>

#include "cluster.h"

namespace trestlepost::test {
namespace {

using bench::caller_answer;

std::string ledger_leader(cluster& it, const std::string& node) {
  const json now = it.status(node);
  return text_of(member_of(now, "ledger"), "leader");
}

/// The incarnation of a voter of isola's ledger, or 0 unless all three nodes of
/// the region are voters.
std::uint64_t voting_incarnation(cluster& it, const std::string& name) {
  const json now = it.status("isola-1");
  const json members = member_of(member_of(now, "ledger"), "members");
  std::uint64_t out = 0;
  for (const json& one : members) {
    if (!flag_of(one, "voter")) return 0;
    if (text_of(one, "node") == name) out = number_of(one, "incarnation");
  }
  return members.size() == 3 ? out : 0;
}

TEST(run_once_test, a_resend_through_any_entry_is_answered_by_the_first_run) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_now(it.booking("isola-1", "terminal", "k1"));
  ASSERT_EQ(first.status, 200U) << first.body;
  EXPECT_EQ(first.region, "stretto");
  for (const std::string& node : it.nodes()) {
    const caller_answer again =
        bench::send_now(it.booking(node, "terminal", "k1"));
    EXPECT_EQ(again.body, first.body) << node;
    EXPECT_EQ(again.replayed, "true") << node;
  }
  EXPECT_EQ(it.runs_of_key("k1").size(), 1U);
}

TEST(run_once_test, another_body_is_refused_and_another_caller_is_not) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(bench::send_now(it.booking("isola-1", "terminal", "k1")).status,
            200U);
  const caller_answer other = bench::send_now(
      it.booking("isola-2", "terminal", "k1", R"({"slot":"2"})"));
  EXPECT_EQ(other.kind, "mismatch");
  EXPECT_EQ(other.ran, "no");
  EXPECT_EQ(bench::send_now(it.booking("isola-1", "planner", "k1")).status,
            200U);
  EXPECT_EQ(it.runs_of_key("k1").size(), 2U);
}

TEST(run_once_test, racing_resends_run_once) {
  cluster it;
  it.bring_up();
  const std::vector<std::string> nodes = it.nodes();
  for (int round = 0; round < 5; ++round) {
    const std::string key = "race-" + std::to_string(round);
    std::vector<std::thread> callers;
    for (const std::string& node : nodes) {
      callers.emplace_back([&it, node, key] {
        bench::send_now(it.booking(node, "terminal", key));
      });
    }
    for (std::thread& one : callers) one.join();
    EXPECT_EQ(it.runs_of_key(key).size(), 1U);
  }
}

TEST(run_once_test, a_gateway_that_dies_in_the_middle_leaves_one_run_at_most) {
  cluster_options options;
  options.plain_ms = 4000;
  options.speed = 1;
  cluster it(options);
  it.bring_up();
  // The home of planner is isola, whose ledger has three voters.
  for (int round = 0; round < 3; ++round) {
    const std::string key = "death-" + std::to_string(round);
    std::thread caller([&] {
      bench::caller_request request = it.booking("isola-2", "planner", key);
      bench::send_now(request);
    });
    ASSERT_TRUE(eventually([&] { return !it.runs_of_key(key).empty(); }));
    it.kill_node("isola-2");
    caller.join();
    const caller_answer again =
        bench::send_now(it.booking("isola-3", "planner", key));
    EXPECT_TRUE(again.kind == "in-progress" || again.kind == "outcome-unknown")
        << again.status << " " << again.body;
    EXPECT_EQ(again.ran, "unknown");
    it.start_node("isola-2");
    ASSERT_TRUE(eventually([&] { return it.state("isola-2") == "ready"; }));
    EXPECT_EQ(it.runs_of_key(key).size(), 1U);
  }
}

TEST(run_once_test, without_a_majority_the_request_is_not_run) {
  cluster it;
  it.bring_up();
  it.freeze_node("isola-1");
  it.freeze_node("isola-2");
  const caller_answer answer =
      bench::send_now(it.booking("isola-3", "planner", "alone"));
  EXPECT_EQ(answer.ran, "no") << answer.body;
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_TRUE(it.runs_of_key("alone").empty());
  it.thaw_node("isola-1");
  it.thaw_node("isola-2");
  EXPECT_TRUE(eventually([&] {
    return bench::send_now(it.booking("isola-3", "planner", "alone")).status ==
           200;
  }));
  EXPECT_EQ(it.runs_of_key("alone").size(), 1U);
}

TEST(run_once_test, ledger_voters_lost_one_after_the_other_forget_nothing) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_now(it.booking("isola-1", "planner", "kept"));
  ASSERT_EQ(first.status, 200U);
  for (const char* name : {"isola-2", "isola-3"}) {
    const std::uint64_t former = voting_incarnation(it, name);
    ASSERT_NE(former, 0U);
    it.kill_node(name);
    it.start_node(name);
    // Wait until it is a voter again with its new incarnation.
    ASSERT_TRUE(eventually([&] {
      const std::uint64_t now = voting_incarnation(it, name);
      if (now == 0 || now == former) return false;
      return it.state(name) == "ready" && !ledger_leader(it, name).empty();
    })) << name;
  }
  const caller_answer again =
      bench::send_now(it.booking("golfo-1", "planner", "kept"));
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(it.runs_of_key("kept").size(), 1U);
}

TEST(run_once_test, during_a_partition_a_resend_is_not_run_elsewhere) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(bench::send_now(it.booking("stretto-1", "terminal", "p1")).status,
            200U);
  it.cut("stretto", "isola");
  it.cut("stretto", "golfo");
  const caller_answer away =
      bench::send_now(it.booking("isola-1", "terminal", "p1"));
  EXPECT_NE(away.status, 200U);
  const caller_answer inside =
      bench::send_now(it.booking("stretto-2", "terminal", "p1"));
  EXPECT_EQ(inside.replayed, "true") << inside.body;
  const caller_answer fresh =
      bench::send_now(it.booking("isola-2", "terminal", "p2"));
  EXPECT_EQ(fresh.ran == "yes", false);
  it.heal();
  EXPECT_TRUE(eventually([&] {
    return bench::send_now(it.booking("isola-1", "terminal", "p1")).replayed ==
           "true";
  }));
  EXPECT_EQ(it.runs_of_key("p1").size(), 1U);
  EXPECT_LE(it.runs_of_key("p2").size(), 1U);
}

TEST(run_once_test, a_moved_home_does_not_open_a_second_owner) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_now(it.booking("isola-1", "planner", "moving"));
  ASSERT_EQ(first.region, "isola");
  const result<json> applied = it.apply("isola-1", R"({"placement_rules": [
      {"name": "anywhere", "callers": {"team": "planner"},
       "home": {"region": "golfo"}}]})");
  ASSERT_TRUE(applied);
  ASSERT_TRUE(eventually([&] {
    return bench::send_now(it.model_request("golfo-1", "planner")).region ==
               "golfo" &&
           it.revision("isola-2") == it.revision("golfo-1");
  }));
  for (const char* node : {"isola-2", "golfo-1", "stretto-1"}) {
    const caller_answer again =
        bench::send_now(it.booking(node, "planner", "moving"));
    EXPECT_EQ(again.body, first.body) << node;
  }
  EXPECT_EQ(it.runs_of_key("moving").size(), 1U);
  const caller_answer fresh =
      bench::send_now(it.booking("isola-1", "planner", "moved"));
  EXPECT_EQ(fresh.region, "golfo") << fresh.body;
  EXPECT_EQ(it.runs_of_key("moved").size(), 1U);
}

TEST(run_once_test, without_a_key_there_is_one_attempt) {
  cluster it;
  it.bring_up();
  for (const char* region : {"isola", "stretto", "golfo"}) {
    it.fault("banco-" + std::string(region), "cut");
  }
  bench::caller_request request = it.booking("isola-1", "planner", "none");
  request.headers = {{"X-Request-Id", "one-attempt"}};
  const caller_answer answer = bench::send_now(request);
  EXPECT_EQ(answer.ran, "unknown") << answer.body;
  EXPECT_EQ(it.runs_of("one-attempt").size(), 1U);
}

}  // namespace
}  // namespace trestlepost::test

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

/// Returns the incarnation of a voter of isola's ledger, or 0 unless all three
/// nodes of the region are voters.
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

TEST(run_once_test, a_retry_through_any_entry_gets_the_first_answer) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_and_wait(it.booking_request("isola-1", "terminal", "k1"));
  ASSERT_EQ(first.status, 200U) << first.body;
  EXPECT_EQ(first.region, "stretto");
  for (const std::string& node : it.nodes()) {
    const caller_answer again =
        bench::send_and_wait(it.booking_request(node, "terminal", "k1"));
    EXPECT_EQ(again.body, first.body) << node;
    EXPECT_EQ(again.replayed, "true") << node;
  }
  EXPECT_EQ(it.runs_of_key("k1").size(), 1U);
}

TEST(run_once_test, a_key_is_bound_to_its_body_and_caller) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(
      bench::send_and_wait(it.booking_request("isola-1", "terminal", "k1"))
          .status,
      200U);
  const caller_answer other = bench::send_and_wait(
      it.booking_request("isola-2", "terminal", "k1", R"({"slot":"2"})"));
  EXPECT_EQ(other.kind, "mismatch");
  EXPECT_EQ(other.ran, "no");
  EXPECT_EQ(bench::send_and_wait(it.booking_request("isola-1", "planner", "k1"))
                .status,
            200U);
  EXPECT_EQ(it.runs_of_key("k1").size(), 2U);
}

TEST(run_once_test, concurrent_retries_run_once) {
  cluster it;
  it.bring_up();
  const std::vector<std::string> nodes = it.nodes();
  for (int round = 0; round < 5; ++round) {
    const std::string key = "race-" + std::to_string(round);
    std::vector<std::thread> callers;
    for (const std::string& node : nodes) {
      callers.emplace_back([&it, node, key] {
        bench::send_and_wait(it.booking_request(node, "terminal", key));
      });
    }
    for (std::thread& one : callers) one.join();
    EXPECT_EQ(it.runs_of_key(key).size(), 1U);
  }
}

TEST(run_once_test, a_gateway_killed_during_a_run_causes_no_second_run) {
  cluster_options options;
  options.plain_ms = 4000;
  options.speed = 1;
  cluster it(options);
  it.bring_up();
  // The home of planner is isola, whose ledger has three voters.
  for (int round = 0; round < 3; ++round) {
    const std::string key = "death-" + std::to_string(round);
    std::thread caller([&] {
      bench::caller_request request =
          it.booking_request("isola-2", "planner", key);
      bench::send_and_wait(request);
    });
    ASSERT_TRUE(eventually([&] { return !it.runs_of_key(key).empty(); }));
    it.kill_node("isola-2");
    caller.join();
    const caller_answer again =
        bench::send_and_wait(it.booking_request("isola-3", "planner", key));
    EXPECT_TRUE(again.kind == "in-progress" || again.kind == "outcome-unknown")
        << again.status << " " << again.body;
    EXPECT_EQ(again.ran, "unknown");
    it.start_node("isola-2");
    ASSERT_TRUE(eventually([&] { return it.state("isola-2") == "ready"; }));
    EXPECT_EQ(it.runs_of_key(key).size(), 1U);
  }
}

TEST(run_once_test, without_a_ledger_majority_nothing_runs) {
  cluster it;
  it.bring_up();
  it.freeze_node("isola-1");
  it.freeze_node("isola-2");
  const caller_answer answer =
      bench::send_and_wait(it.booking_request("isola-3", "planner", "alone"));
  EXPECT_EQ(answer.ran, "no") << answer.body;
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_TRUE(it.runs_of_key("alone").empty());
  it.thaw_node("isola-1");
  it.thaw_node("isola-2");
  EXPECT_TRUE(eventually([&] {
    return bench::send_and_wait(
               it.booking_request("isola-3", "planner", "alone"))
               .status == 200;
  }));
  EXPECT_EQ(it.runs_of_key("alone").size(), 1U);
}

TEST(run_once_test, successive_restarts_of_ledger_voters_lose_no_record) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_and_wait(it.booking_request("isola-1", "planner", "kept"));
  ASSERT_EQ(first.status, 200U);
  for (const char* name : {"isola-2", "isola-3"}) {
    const std::uint64_t previous_incarnation = voting_incarnation(it, name);
    ASSERT_NE(previous_incarnation, 0U);
    it.kill_node(name);
    it.start_node(name);
    // Wait until it is a voter again with its new incarnation.
    ASSERT_TRUE(eventually([&] {
      const std::uint64_t now = voting_incarnation(it, name);
      if (now == 0 || now == previous_incarnation) return false;
      return it.state(name) == "ready" && !ledger_leader(it, name).empty();
    })) << name;
  }
  const caller_answer again =
      bench::send_and_wait(it.booking_request("golfo-1", "planner", "kept"));
  EXPECT_EQ(again.body, first.body);
  EXPECT_EQ(it.runs_of_key("kept").size(), 1U);
}

TEST(run_once_test, a_retry_during_a_partition_runs_nowhere_else) {
  cluster it;
  it.bring_up();
  ASSERT_EQ(
      bench::send_and_wait(it.booking_request("stretto-1", "terminal", "p1"))
          .status,
      200U);
  it.cut("stretto", "isola");
  it.cut("stretto", "golfo");
  const caller_answer away =
      bench::send_and_wait(it.booking_request("isola-1", "terminal", "p1"));
  EXPECT_NE(away.status, 200U);
  const caller_answer inside =
      bench::send_and_wait(it.booking_request("stretto-2", "terminal", "p1"));
  EXPECT_EQ(inside.replayed, "true") << inside.body;
  const caller_answer fresh =
      bench::send_and_wait(it.booking_request("isola-2", "terminal", "p2"));
  EXPECT_EQ(fresh.ran == "yes", false);
  it.heal();
  EXPECT_TRUE(eventually([&] {
    return bench::send_and_wait(it.booking_request("isola-1", "terminal", "p1"))
               .replayed == "true";
  }));
  EXPECT_EQ(it.runs_of_key("p1").size(), 1U);
  EXPECT_LE(it.runs_of_key("p2").size(), 1U);
}

TEST(run_once_test, a_retry_after_a_home_change_does_not_run_again) {
  cluster it;
  it.bring_up();
  const caller_answer first =
      bench::send_and_wait(it.booking_request("isola-1", "planner", "moving"));
  ASSERT_EQ(first.region, "isola");
  const result<json> applied = it.apply("isola-1", R"({"placement_rules": [
      {"name": "anywhere", "callers": {"team": "planner"},
       "home": {"region": "golfo"}}]})");
  ASSERT_TRUE(applied);
  ASSERT_TRUE(eventually([&] {
    return bench::send_and_wait(it.model_request("golfo-1", "planner"))
                   .region == "golfo" &&
           it.revision("isola-2") == it.revision("golfo-1");
  }));
  for (const char* node : {"isola-2", "golfo-1", "stretto-1"}) {
    const caller_answer again =
        bench::send_and_wait(it.booking_request(node, "planner", "moving"));
    EXPECT_EQ(again.body, first.body) << node;
  }
  EXPECT_EQ(it.runs_of_key("moving").size(), 1U);
  const caller_answer fresh =
      bench::send_and_wait(it.booking_request("isola-1", "planner", "moved"));
  EXPECT_EQ(fresh.region, "golfo") << fresh.body;
  EXPECT_EQ(it.runs_of_key("moved").size(), 1U);
}

TEST(run_once_test, a_request_without_a_key_is_sent_once) {
  cluster it;
  it.bring_up();
  for (const char* region : {"isola", "stretto", "golfo"}) {
    it.inject_fault("banco-" + std::string(region), "cut");
  }
  bench::caller_request request =
      it.booking_request("isola-1", "planner", "none");
  request.headers = {{"X-Request-Id", "one-attempt"}};
  const caller_answer answer = bench::send_and_wait(request);
  EXPECT_EQ(answer.ran, "unknown") << answer.body;
  EXPECT_EQ(it.runs_of("one-attempt").size(), 1U);
}

}  // namespace
}  // namespace trestlepost::test

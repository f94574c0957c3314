// Tests requests under faults: they run only in permitted regions, answers are
// complete or visibly interrupted, and stops and leaving endpoints lose
// nothing.
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

#include "cluster.h"

namespace trestlepost::test {
namespace {

using bench::caller_answer;
using bench::caller_request;

std::string id_of(const caller_request& request) {
  for (const auto& [name, value] : request.headers) {
    if (name == "X-Request-Id") return value;
  }
  return {};
}

void expect_runs_in(const cluster& it, const std::string& request_id,
                    const std::vector<std::string>& permitted) {
  for (const bench::run_record& run : it.runs_of(request_id)) {
    EXPECT_NE(std::find(permitted.begin(), permitted.end(), run.region),
              permitted.end())
        << "ran in " << run.region;
  }
}

struct placement_case {
  const char* caller;
  const char* entry;
  std::vector<std::string> permitted;
};

TEST(request_faults_test, a_request_runs_only_in_permitted_regions) {
  cluster it;
  it.bring_up();
  const placement_case cases[] = {
      {"planner", "golfo-1", {"isola", "stretto", "golfo"}},
      {"terminal", "golfo-2", {"isola", "stretto"}},
      {"terminal", "isola-3", {"isola", "stretto"}},
      {"mainland", "isola-1", {"golfo"}},
      {"mainland", "stretto-2", {"golfo"}},
      {"hidden", "isola-2", {"isola"}},
  };
  for (const placement_case& one : cases) {
    for (const bool stream : {false, true}) {
      const caller_request request =
          it.model_request(one.entry, one.caller, stream);
      const caller_answer answer = bench::send_and_wait(request);
      EXPECT_EQ(answer.status, 200U) << one.caller << " " << answer.body;
      EXPECT_TRUE(answer.complete);
      EXPECT_NE(answer.body.find(id_of(request)), std::string::npos);
      expect_runs_in(it, id_of(request), one.permitted);
      EXPECT_EQ(it.runs_of(id_of(request)).size(), 1U);
    }
  }
  caller_request unruled = it.model_request("isola-1", "nobody");
  const caller_answer refused = bench::send_and_wait(unruled);
  EXPECT_EQ(refused.status, 403U);
  EXPECT_EQ(refused.kind, "no-matching-rule");
  EXPECT_EQ(refused.ran, "no");
  EXPECT_TRUE(it.runs_of(id_of(unruled)).empty());
  const caller_request hidden = it.model_request("golfo-1", "hidden");
  const caller_answer transit = bench::send_and_wait(hidden);
  EXPECT_EQ(transit.kind, "transit-refused");
  const std::vector<std::string> entries{"isola-1", "isola-2", "isola-3"};
  const bool named = std::any_of(
      entries.begin(), entries.end(), [&](const std::string& entry) {
        return transit.body.find(it.address(entry, 7000)) != std::string::npos;
      });
  EXPECT_TRUE(named) << "the refusal names the entries to use: "
                     << transit.body;
}

TEST(request_faults_test, a_request_without_a_permitted_endpoint_is_refused) {
  cluster it;
  it.bring_up();
  for (const char* endpoint : {"guida-golfo-1", "guida-golfo-2"}) {
    it.kill_endpoint(endpoint);
  }
  const caller_request request = it.model_request("isola-1", "mainland");
  const caller_answer answer = bench::send_and_wait(request);
  EXPECT_GE(answer.status, 500U);
  EXPECT_EQ(answer.ran, "no");
  EXPECT_FALSE(answer.retry_after.empty());
  EXPECT_TRUE(it.runs_of(id_of(request)).empty());
}

TEST(request_faults_test, a_partitioned_region_serves_only_permitted_requests) {
  cluster it;
  it.bring_up();
  it.cut("golfo", "isola");
  it.cut("golfo", "stretto");
  ASSERT_TRUE(eventually([&] {
    return it.state("golfo-1") == "isolated" &&
           it.state("golfo-2") == "isolated";
  }));
  // Callers of the mainland team are now permitted in isola only.
  std::uint64_t accepted = 0;
  ASSERT_TRUE(eventually([&] {
    const result<json> applied = it.apply("isola-1", R"({"placement_rules": [
        {"name": "north", "callers": {"team": "mainland"},
         "permit": {"region": "isola"}}]})");
    if (applied) accepted = number_of(*applied, "revision");
    return applied && text_of(*applied, "status") == "accepted";
  }));
  // An accepted change may still be on its way to the node that accepted it.
  ASSERT_TRUE(eventually([&] { return it.revision("isola-1") == accepted; }));
  const caller_request own = it.model_request("golfo-1", "planner");
  EXPECT_EQ(bench::send_and_wait(own).status, 200U);
  expect_runs_in(it, id_of(own), {"golfo"});
  const caller_request foreign = it.model_request("golfo-1", "terminal");
  const caller_answer refused = bench::send_and_wait(foreign);
  EXPECT_EQ(refused.ran, "no") << refused.body;
  EXPECT_TRUE(it.runs_of(id_of(foreign)).empty());
  const caller_request moved = it.model_request("isola-1", "mainland");
  EXPECT_EQ(bench::send_and_wait(moved).status, 200U);
  expect_runs_in(it, id_of(moved), {"isola"});
  it.heal();
  ASSERT_TRUE(eventually([&] { return it.state("golfo-1") == "ready"; }));
  const caller_request after = it.model_request("golfo-1", "mainland");
  EXPECT_EQ(bench::send_and_wait(after).status, 200U);
  expect_runs_in(it, id_of(after), {"isola"});
}

TEST(request_faults_test, an_answer_is_complete_or_visibly_interrupted) {
  cluster it;
  it.bring_up();
  int complete_streams = 0;
  for (const std::string fault : {"cut", "crossed", "fail", "refuse", "none"}) {
    for (const char* region : {"isola", "stretto", "golfo"}) {
      it.inject_fault("guida-" + std::string(region) + "-1", fault);
      it.inject_fault("guida-" + std::string(region) + "-2", fault);
    }
    for (const bool stream : {false, true}) {
      for (int i = 0; i < 4; ++i) {
        const caller_request request =
            it.model_request("isola-1", "planner", stream);
        const caller_answer answer = bench::send_and_wait(request);
        const bool good = answer.status == 200 && answer.complete;
        const bool echoes_id =
            answer.body.find(id_of(request)) != std::string::npos;
        if (good) {
          EXPECT_TRUE(echoes_id) << fault;
          const bool ended = answer.body.ends_with("data: [DONE]\n\n");
          EXPECT_TRUE(!stream || ended) << fault;
          if (stream) ++complete_streams;
        }
        if (answer.ran == "no") {
          EXPECT_TRUE(it.runs_of(id_of(request)).empty())
              << fault << " was reported as not run";
        }
      }
    }
    for (const char* region : {"isola", "stretto", "golfo"}) {
      it.inject_fault("guida-" + std::string(region) + "-1", "none");
      it.inject_fault("guida-" + std::string(region) + "-2", "none");
    }
    EXPECT_TRUE(eventually([&] {
      const caller_answer again =
          bench::send_and_wait(it.model_request("isola-1", "planner"));
      return again.status == 200;
    })) << fault;
  }
  EXPECT_GT(complete_streams, 0);
}

TEST(request_faults_test, retries_in_a_total_outage_add_at_most_a_tenth) {
  cluster it;
  it.bring_up();
  // The endpoint logs each attempt before it cuts the answer.
  for (const char* region : {"isola", "stretto", "golfo"}) {
    it.inject_fault("guida-" + std::string(region) + "-1", "cut");
    it.inject_fault("guida-" + std::string(region) + "-2", "cut");
  }
  const std::size_t before = it.all_runs().size();
  constexpr std::size_t requests = 100;
  for (std::size_t i = 0; i < requests; ++i) {
    bench::send_and_wait(it.model_request("isola-1", "planner", true));
  }
  const std::size_t attempts = it.all_runs().size() - before;
  EXPECT_LE(attempts, requests * 11 / 10);
}

TEST(request_faults_test, a_leaving_endpoint_gets_no_new_requests) {
  cluster it;
  it.bring_up();
  it.set_platform_state("guida-golfo-1", true);
  const auto leaving = [&](const std::string& node) {
    const json now = it.status(node);
    for (const json& one : member_of(now, "endpoints")) {
      if (text_of(one, "endpoint") == "guida-golfo-1") {
        return text_of(one, "state") == "leaving";
      }
    }
    return false;
  };
  ASSERT_TRUE(
      eventually([&] { return leaving("golfo-1") && leaving("golfo-2"); }));
  for (int i = 0; i < 20; ++i) {
    const caller_request request = it.model_request("golfo-1", "mainland");
    EXPECT_EQ(bench::send_and_wait(request).status, 200U);
    for (const bench::run_record& run : it.runs_of(id_of(request))) {
      EXPECT_EQ(run.endpoint, "guida-golfo-2");
    }
  }
  it.set_platform_state("guida-golfo-1", false);
  EXPECT_TRUE(eventually([&] { return !leaving("golfo-1"); }));
}

TEST(request_faults_test, a_killed_endpoint_that_is_still_listed_is_skipped) {
  cluster it;
  it.bring_up();
  it.kill_endpoint("guida-isola-1");
  int good = 0;
  for (int i = 0; i < 30; ++i) {
    const caller_answer answer =
        bench::send_and_wait(it.model_request("isola-1", "planner"));
    good += answer.status == 200 ? 1 : 0;
  }
  EXPECT_EQ(good, 30);
}

TEST(request_faults_test, a_planned_stop_interrupts_no_request) {
  cluster_options options;
  options.speed = 1;
  cluster it(options);
  it.bring_up();
  std::vector<caller_answer> answers(8);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    callers.emplace_back([&, i] {
      caller_request request = it.model_request(
          "isola-1", i % 2 == 0 ? "planner" : "mainland", true);
      json body = *parse_json(request.body);
      body["max_tokens"] = 120;
      request.body = to_text(body);
      answers[i] = bench::send_and_wait(request);
    });
  }
  ASSERT_TRUE(eventually([&] { return it.all_runs().size() >= 8; }));
  it.stop_node("isola-1");
  ASSERT_TRUE(eventually([&] { return it.state("isola-1") == "draining"; }));
  const caller_answer refused =
      bench::send_and_wait(it.model_request("isola-1", "planner"));
  EXPECT_EQ(refused.kind, "draining");
  EXPECT_EQ(refused.ran, "no");
  EXPECT_TRUE(eventually([&] {
    const std::string listed =
        bench::query_directory(it.address("isola-2", 7000), "?region=isola");
    return !listed.empty() && listed != it.address("isola-1", 7000);
  }));
  for (std::thread& one : callers) one.join();
  for (const caller_answer& answer : answers) {
    EXPECT_TRUE(answer.complete);
    EXPECT_TRUE(answer.body.ends_with("data: [DONE]\n\n"));
  }
  EXPECT_EQ(it.wait_for_exit("isola-1"), 0);
}

TEST(request_faults_test, a_disconnected_caller_frees_the_endpoint) {
  cluster_options options;
  options.speed = 0.2;
  cluster it(options);
  it.bring_up();
  caller_request request = it.model_request("isola-1", "mainland", true);
  json body = *parse_json(request.body);
  body["max_tokens"] = 1000;
  request.body = to_text(body);
  request.timeout = std::chrono::milliseconds(1500);
  const caller_answer answer = bench::send_and_wait(request);
  EXPECT_FALSE(answer.complete);
  ASSERT_EQ(it.runs_of(id_of(request)).size(), 1U);
  EXPECT_TRUE(eventually([&] {
    for (const std::string& node : {"golfo-1", "golfo-2"}) {
      const json now = it.status(node);
      for (const json& one : member_of(now, "endpoints")) {
        if (number_of(one, "in_flight") != 0) return false;
      }
    }
    return true;
  }));
}

TEST(request_faults_test, killed_gateways_do_not_mix_answers_of_requests) {
  cluster it;
  it.bring_up();
  std::vector<std::thread> callers;
  std::vector<int> wrong(6);
  for (std::size_t i = 0; i < wrong.size(); ++i) {
    callers.emplace_back([&, i] {
      for (int n = 0; n < 30; ++n) {
        const char* entries[] = {"isola-1", "isola-2", "stretto-1"};
        const caller_request request =
            it.model_request(entries[i % 3], "terminal", n % 2 == 0);
        const caller_answer answer = bench::send_and_wait(request);
        const bool good = answer.status == 200 && answer.complete;
        const bool echoes_id =
            answer.body.find(id_of(request)) != std::string::npos;
        if (good && !echoes_id) ++wrong[i];
      }
    });
  }
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    it.kill_node("isola-2");
    it.start_node("isola-2");
  }
  for (std::thread& one : callers) one.join();
  for (const int n : wrong) EXPECT_EQ(n, 0);
  for (const bench::run_record& run : it.all_runs()) {
    EXPECT_NE(run.region, "golfo");
  }
}

}  // namespace
}  // namespace trestlepost::test

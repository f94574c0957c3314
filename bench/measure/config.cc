// Measures configuration changes (rate, latency, propagation, failover,
// restart) and the traffic and CPU use of nodes without requests.
#include <cstdio>
#include <thread>

#include "cluster.h"
#include "load.h"
#include "measure.h"

namespace trestlepost::measure {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string change_text(int n) {
  return R"({"regions": [{"name": "golfo", "labels": {"side": "north",
            "mark": ")" +
         std::to_string(n) + R"("}}]})";
}

double ms_since(steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(steady_clock::now() - start)
      .count();
}

/// Measures the latency and rate of sequential changes at the leader.
void measure_changes(test::cluster& it, int changes) {
  const std::string leader = it.leader();
  std::vector<double> latencies;
  const steady_clock::time_point start = steady_clock::now();
  for (int i = 0; i < changes; ++i) {
    const steady_clock::time_point started_at = steady_clock::now();
    it.apply(leader, change_text(i));
    latencies.push_back(ms_since(started_at));
  }
  const double seconds = ms_since(start) / 1000;
  std::printf(
      "changes one by one: %.1f a second, p50 %.1f ms, p99 %.1f ms "
      "(the client polls for the result, every 100 ms at most)\n",
      changes / seconds, bench::quantile(latencies, 0.5),
      bench::quantile(latencies, 0.99));
}

/// Measures the time from sending a change until all nodes have its revision.
void measure_propagation(unsigned delay_ms) {
  test::cluster_options options;
  options.delay_ms = delay_ms;
  options.election_timeout_ms = 1000;
  test::cluster it(options);
  it.bring_up();
  std::vector<double> times;
  for (int i = 0; i < 20; ++i) {
    const std::string leader = it.leader();
    const steady_clock::time_point started_at = steady_clock::now();
    const result<json> outcome = it.apply(leader, change_text(i));
    const std::uint64_t revision =
        outcome ? number_of(*outcome, "revision") : 0;
    for (const std::string& node : it.nodes()) {
      while (it.revision(node) < revision) {
        std::this_thread::sleep_for(milliseconds(2));
      }
    }
    times.push_back(ms_since(started_at));
  }
  std::printf(
      "in force on all seven nodes, %u ms one way between regions: "
      "p50 %.0f ms, worst %.0f ms\n",
      delay_ms, bench::quantile(times, 0.5), bench::quantile(times, 1));
}

/// Returns the milliseconds from the leader's fault until a change is accepted
/// again.
double time_without_leader(test::cluster& it, bool freeze) {
  const std::string leader = it.leader();
  std::string other;
  for (const std::string& name : it.control_nodes()) {
    if (name != leader) other = name;
  }
  const steady_clock::time_point started_at = steady_clock::now();
  if (freeze) {
    it.freeze_node(leader);
  } else {
    it.kill_node(leader);
  }
  int n = 0;
  while (true) {
    const json now = it.status(other);
    const std::string seen = text_of(now, "leader");
    const bool leads = flag_of(member_of(now, "control"), "leads");
    if (leads || (!seen.empty() && seen != leader)) {
      const result<json> outcome = it.apply(other, change_text(++n));
      if (outcome && text_of(*outcome, "status") == "accepted") break;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  const double out = ms_since(started_at);
  if (freeze) {
    it.thaw_node(leader);
  } else {
    it.start_node(leader);
  }
  test::eventually([&] { return it.state(leader) == "ready"; });
  return out;
}

void measure_failover() {
  test::cluster_options options;
  options.delay_ms = 20;
  options.election_timeout_ms = 1000;
  test::cluster it(options);
  it.bring_up();
  for (const bool freeze : {false, true}) {
    std::vector<double> times;
    for (int i = 0; i < 4; ++i)
      times.push_back(time_without_leader(it, freeze));
    std::printf(
        "accepting again after a %s of the leader (election timeout "
        "1 s, 20 ms): median %.0f ms, worst %.0f ms\n",
        freeze ? "freeze" : "kill", bench::quantile(times, 0.5),
        bench::quantile(times, 1));
  }
}

void measure_restart(int changes, unsigned snapshot_every) {
  test::cluster_options options;
  options.snapshot_every = snapshot_every;
  test::cluster it(options);
  it.bring_up();
  const std::string node = "stretto-1";
  for (int i = 0; i < changes; ++i) it.apply("isola-1", change_text(i));
  const std::uint64_t revision = it.revision("isola-1");
  it.kill_node(node);
  const steady_clock::time_point started_at = steady_clock::now();
  it.start_node(node);
  while (it.state(node) != "ready" || it.revision(node) < revision) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::printf(
      "restart of a control node after %d changes, snapshot every "
      "%u: ready at the latest revision in %.0f ms\n",
      changes, snapshot_every, ms_since(started_at));
}

}  // namespace

int measure_idle() {
  test::cluster_options options;
  options.default_timing = true;
  test::cluster it(options);
  it.bring_up();
  const std::vector<std::string> shown{"isola-1", "isola-2", "golfo-2"};
  for (const bool changing : {false, true}) {
    std::map<std::string, std::uint64_t> bytes;
    std::map<std::string, milliseconds> cpu;
    for (const std::string& node : shown) {
      bytes[node] = it.peer_bytes_sent_by(node);
      cpu[node] = it.cpu_time_of(node);
    }
    const steady_clock::time_point started_at = steady_clock::now();
    constexpr int seconds = 8;
    for (int i = 0; i < seconds; ++i) {
      if (changing) it.apply("isola-1", change_text(i));
      std::this_thread::sleep_until(started_at + std::chrono::seconds(i + 1));
    }
    for (const std::string& node : shown) {
      const double sent =
          static_cast<double>(it.peer_bytes_sent_by(node) - bytes[node]) /
          seconds;
      const milliseconds used = it.cpu_time_of(node) - cpu[node];
      std::printf("%s %s: %.1f KB a second sent to peers, %.2f%% of a core\n",
                  changing ? "one change a second," : "at rest,", node.c_str(),
                  sent / 1000,
                  static_cast<double>(used.count()) / (seconds * 10.0));
    }
  }
  return 0;
}

int measure_config() {
  {
    test::cluster_options options;
    options.delay_ms = 0;
    test::cluster it(options);
    it.bring_up();
    measure_changes(it, 100);
  }
  measure_idle();
  measure_propagation(20);
  measure_propagation(80);
  measure_failover();
  measure_restart(500, 100);
  measure_restart(500, 100'000);
  return 0;
}

}  // namespace trestlepost::measure

// Compares region policies under steady load, overload and the loss of one
// region's endpoints.
#include <cstdio>
#include <thread>

#include "cluster.h"
#include "load.h"
#include "measure.h"

namespace trestlepost::measure {
namespace {

using bench::class_result;
using bench::load_class;
using bench::load_options;

// Answers per second of one region's two endpoints under the load below,
// calculated from the processing times of the stand-ins: 16 slots, about 0.25 s
// per request.
constexpr double region_capacity = 60;
constexpr double total_capacity = 3 * region_capacity;
constexpr unsigned run_seconds = 10;

/// Returns a class of streamed model calls of one caller through `node`.
load_class make_model_class(test::cluster& it, const std::string& name,
                            const std::string& node, const std::string& caller,
                            const std::string& home, double rate) {
  load_class out;
  out.name = name;
  out.entry = it.address(node, 7000);
  out.token = caller + "-token";
  out.target = "/v1/chat/completions";
  out.service = "guida";
  out.rate = rate;
  out.prompt_tokens = 200;
  out.tokens = 32;
  out.prefixes = 12;
  out.deadline_ms = 3000;
  out.stream = true;
  out.home = home;
  return out;
}

/// Returns an uneven load: 55 % enters in isola, 30 % in stretto, 15 % in
/// golfo.
load_options make_load(test::cluster& it, double share_of_capacity,
                       unsigned seed) {
  const double rate = share_of_capacity * total_capacity;
  load_options out;
  out.seconds = run_seconds;
  out.warmup_seconds = 2;
  out.seed = seed;
  out.classes = {make_model_class(it, "planner-1", "isola-1", "planner",
                                  "isola", rate * 0.3),
                 make_model_class(it, "planner-2", "isola-2", "planner",
                                  "isola", rate * 0.25),
                 make_model_class(it, "terminal", "stretto-1", "terminal",
                                  "stretto", rate * 0.3),
                 make_model_class(it, "mainland", "golfo-1", "mainland",
                                  "golfo", rate * 0.15)};
  return out;
}

enum class scenario { steady_09, steady_20, region_lost };

const char* name_of(scenario it) {
  switch (it) {
    case scenario::steady_09:
      return "0.9 of capacity";
    case scenario::steady_20:
      return "2.0 of capacity";
    case scenario::region_lost:
      break;
  }
  return "isola's endpoints lost for 4 s, 0.6";
}

/// Kills the endpoints of isola and restarts them with empty caches.
void lose_region(test::cluster& it) {
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (const char* name : {"guida-isola-1", "guida-isola-2"}) {
    it.kill_endpoint(name);
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (const char* name : {"guida-isola-1", "guida-isola-2"}) {
    it.start_endpoint(name);
  }
}

class_result run_once(const std::string& policy, const std::string& penalty,
                      scenario kind, unsigned seed) {
  test::cluster_options options;
  options.policy = policy;
  options.away_penalty = penalty;
  options.delay_ms = 20;
  options.speed = 4;
  test::cluster it(options);
  it.bring_up();
  double load_share = 0.6;
  if (kind == scenario::steady_09) load_share = 0.9;
  if (kind == scenario::steady_20) load_share = 2.0;
  std::thread fault_thread;
  if (kind == scenario::region_lost) {
    fault_thread = std::thread([&it] { lose_region(it); });
  }
  class_result all;
  for (const auto& [name, one] :
       bench::run_load(make_load(it, load_share, seed))) {
    all.offered += one.offered;
    all.good += one.good;
    all.away += one.away;
    for (const auto& [outcome, n] : one.outcomes) all.outcomes[outcome] += n;
    all.first_ms.insert(all.first_ms.end(), one.first_ms.begin(),
                        one.first_ms.end());
    all.total_ms.insert(all.total_ms.end(), one.total_ms.begin(),
                        one.total_ms.end());
  }
  if (fault_thread.joinable()) fault_thread.join();
  return all;
}

void print(const std::string& policy, const std::string& penalty, scenario kind,
           const class_result& it) {
  std::printf(
      "%-36s %-11s %-6s offered %5llu good %5.1f%% away %5.1f%% first "
      "p50 %4.0f p99 %5.0f total p50 %4.0f p99 %5.0f p99.9 %5.0f ms ",
      name_of(kind), policy.c_str(), penalty.c_str(),
      static_cast<unsigned long long>(it.offered),
      100.0 * static_cast<double>(it.good) / static_cast<double>(it.offered),
      100.0 * static_cast<double>(it.away) /
          static_cast<double>(std::max<std::uint64_t>(1, it.good)),
      bench::quantile(it.first_ms, 0.5), bench::quantile(it.first_ms, 0.99),
      bench::quantile(it.total_ms, 0.5), bench::quantile(it.total_ms, 0.99),
      bench::quantile(it.total_ms, 0.999));
  for (const auto& [outcome, n] : it.outcomes) {
    std::printf("%s=%llu ", outcome.c_str(),
                static_cast<unsigned long long>(n));
  }
  std::printf("\n");
  std::fflush(stdout);
}

}  // namespace

int measure_policy(unsigned repeats) {
  for (unsigned seed = 1; seed <= repeats; ++seed) {
    for (const scenario kind :
         {scenario::steady_09, scenario::steady_20, scenario::region_lost}) {
      for (const char* policy :
           {"weighed", "home_only", "round_robin", "least_load"}) {
        print(policy, "100 ms", kind, run_once(policy, "100 ms", kind, seed));
      }
      print("weighed", "3 s", kind, run_once("weighed", "3 s", kind, seed));
    }
  }
  return 0;
}

}  // namespace trestlepost::measure

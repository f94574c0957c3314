// Open-loop load generator: requests start on schedule whether or not earlier
// ones have ended, so that a stall shows in the latencies.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace trestlepost::bench {

/// One kind of request in the mix.
struct load_class {
  std::string name;
  std::string entry;  // callers' address
  std::string token;
  std::string target;
  std::string service;  // value of "model" in the body of model calls
  double rate = 1;      // mean requests per second
  unsigned prompt_tokens = 50;
  unsigned tokens = 8;
  unsigned prefixes = 4;  // distinct shared prefixes
  unsigned deadline_ms = 10'000;
  int priority = 0;
  bool stream = false;
  bool run_once = false;
  bool model = true;
  std::string home;  // region that is expected to answer
};

struct load_options {
  std::vector<load_class> classes;
  unsigned seconds = 10;
  unsigned warmup_seconds = 2;
  unsigned seed = 1;
};

/// Outcomes and latencies of one class. Every latency is stored, since a run
/// has only about ten thousand requests.
struct class_result {
  std::vector<double> first_ms;
  std::vector<double> total_ms;
  std::map<std::string, std::uint64_t> outcomes;
  std::uint64_t offered = 0;
  std::uint64_t good = 0;  // complete, for this request, before the deadline
  std::uint64_t away = 0;  // good answers from another region than `home`
};

/// Returns the nearest-rank quantile for `q` in [0, 1], or 0 without values.
double quantile(std::vector<double> values, double q);

/// Blocks until all requests have ended; returns the results by class name.
std::map<std::string, class_result> run_load(const load_options& options);

/// Runs the load described by a file of JSON with comments and prints the
/// results. Returns the exit status: 2 if the file is invalid.
int run_load_file(const std::string& file, bool as_json);

}  // namespace trestlepost::bench

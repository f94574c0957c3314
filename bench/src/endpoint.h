// Stand-in endpoint: simulates a model engine with continuous batching and a
// prefix cache, or a plain service. Its load reports are delayed, and it logs
// each run to a file.
#pragma once

#include <chrono>
#include <string>

namespace trestlepost::bench {

struct endpoint_options {
  std::string address;
  std::string name;
  std::string region;
  bool plain = false;
  unsigned slots = 8;
  std::string run_log;
  /// All processing times are divided by this, to shorten a measurement.
  double speed = 1;
  std::chrono::microseconds prefill_per_token{300};  // per uncached token
  std::chrono::milliseconds decode_per_token{20};    // with a batch of one
  double decode_slope = 0.05;  // slowdown per other running request
  std::chrono::milliseconds plain_time{20};
  std::chrono::milliseconds report_lag{200};
  std::size_t cached_prefixes = 40;
};

/// Runs until SIGTERM.
int run_endpoint(const endpoint_options& options);

}  // namespace trestlepost::bench

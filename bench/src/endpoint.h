// A stand-in endpoint: a model engine with continuous batching and a prefix
// cache, or a plain service. It reports its load late and logs what it ran.
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
  /// All times are divided by this, so that a comparison ends soon.
  double speed = 1;
  std::chrono::microseconds prefill_per_token{300};  // not in the cache
  std::chrono::milliseconds decode_per_token{20};    // alone in the batch
  double decode_slope = 0.05;  // more for each further request in the batch
  std::chrono::milliseconds plain_time{20};
  std::chrono::milliseconds report_lag{200};
  std::size_t cached_prefixes = 40;
};

/// Runs until SIGTERM.
int run_endpoint(const endpoint_options& options);

}  // namespace trestlepost::bench

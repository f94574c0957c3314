// Retries in a sliding window, for gateways that keep a limit together without
// asking each other.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "trestlepost/base/clock.h"
#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {

/// One gateway's part of the limits, over any window.
struct retry_window_options {
  double ratio = 0.1;  // retries for each request of the window
  double slack = 5;    // besides
  std::chrono::milliseconds window{10'000};
};

/// The part of one of `gateways` gateways. An endpoint that fails breaks some
/// ten streams of a gateway at one moment, and then none for seconds: all that
/// a window allows may be taken at once.
retry_window_options window_share_of(const shared_retry_limits& limits,
                                     std::size_t gateways);

class retry_window {
 public:
  explicit retry_window(retry_window_options options = {})
      : options_(options) {}

  void set_options(retry_window_options options) { options_ = options; }
  void request_seen(monotonic_time now);
  /// Takes one retry; false when the window allows no more.
  bool take(monotonic_time now);

 private:
  /// What fell into a tenth of the window.
  struct slot {
    monotonic_time start;
    unsigned requests = 0;
    unsigned retries = 0;
  };

  slot& current(monotonic_time now);

  retry_window_options options_;
  std::deque<slot> slots_;  // the newest last
};

}  // namespace trestlepost::routing

// Measures by how much the ticks of the event loop are late: the process was
// busy or not scheduled.
#pragma once

#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

class tick_monitor {
 public:
  explicit tick_monitor(prometheus::Registry& registry);

  /// Records a tick that was due at `due` and runs at `now`; logs a long delay.
  void record(monotonic_time due, monotonic_time now);
  /// The longest delay since the start.
  std::chrono::milliseconds longest() const { return longest_; }

 private:
  prometheus::Histogram& delays_;
  std::chrono::milliseconds longest_{0};
};

}  // namespace trestlepost::node

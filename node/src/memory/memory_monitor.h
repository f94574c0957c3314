// Measures the memory of this process and tells the budget what is left for
// callers, operators and endpoints.
#pragma once

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <chrono>
#include <memory>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/memory_budget.h"

namespace trestlepost::node {

/// Lets the allocator return freed memory to the system soon. Call it before
/// any thread starts.
void set_allocator_options();

/// Updates the budget and its metrics, and logs when it has refused requests.
class memory_monitor {
 public:
  memory_monitor(std::shared_ptr<memory_budget> budget,
                 prometheus::Registry& registry);

  void tick(monotonic_time now);

 private:
  /// Measures what the process uses besides what the budget's shares hold.
  void measure();
  void log_shortage(monotonic_time now);
  void collect_metrics();

  static constexpr std::chrono::milliseconds measure_interval{500};
  static constexpr std::chrono::milliseconds log_interval{5000};

  std::shared_ptr<memory_budget> budget_;
  prometheus::Family<prometheus::Gauge>& gauges_;
  monotonic_time next_measure_;
  monotonic_time next_log_;
  std::size_t unused_after_trim_ = 0;  // free bytes of the heap
  std::uint64_t logged_refusals_ = 0;
};

}  // namespace trestlepost::node

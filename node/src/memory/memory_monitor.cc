#include "memory/memory_monitor.h"

#include <malloc.h>

#include <algorithm>
#include <string>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

constexpr std::size_t megabyte = 1024UL * 1024;
// The program, its libraries and the stacks of its threads.
constexpr std::size_t fixed_use = 16 * megabyte;
// Larger blocks are returned to the system when they are freed.
constexpr int mapped_block_bytes = 128 * 1024;
// Free memory that the allocator keeps at the end of the heap.
constexpr int kept_at_end_bytes = 1024 * 1024;
// Growth of the free memory within the heap after which it is returned to the
// system.
constexpr std::size_t max_unused_bytes = 8 * megabyte;

}  // namespace

void set_allocator_options() {
  // With a fixed threshold, large blocks never go to the heap, where small ones
  // that live longer would keep them from being returned.
  ::mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
  ::mallopt(M_TRIM_THRESHOLD, kept_at_end_bytes);
}

memory_monitor::memory_monitor(std::shared_ptr<memory_budget> budget,
                               prometheus::Registry& registry)
    : budget_(std::move(budget)),
      gauges_(prometheus::BuildGauge()
                  .Name("trestlepost_memory")
                  .Help("Memory of this process in bytes, and how often it "
                        "was refused or taken back.")
                  .Register(registry)) {}

void memory_monitor::tick(monotonic_time now) {
  if (now < next_measure_) return;
  next_measure_ = now + measure_interval;
  measure();
  log_shortage(now);
  collect_metrics();
}

void memory_monitor::measure() {
  const struct mallinfo2 heap = ::mallinfo2();
  // Freed blocks count as unused also after their pages have been returned.
  unused_after_trim_ = std::min(unused_after_trim_, heap.fordblks);
  if (heap.fordblks > unused_after_trim_ + max_unused_bytes) {
    ::malloc_trim(kept_at_end_bytes);
    unused_after_trim_ = heap.fordblks;
  }
  const std::size_t allocated = heap.uordblks + heap.hblkhd;
  // Shares count what may be allocated, such as the rest of a body.
  const std::size_t other =
      allocated > budget_->held() ? allocated - budget_->held() : 0;
  budget_->set_other_use(fixed_use + other);
}

void memory_monitor::log_shortage(monotonic_time now) {
  const std::uint64_t refused = budget_->refused() - logged_refusals_;
  if (refused == 0 || now < next_log_) return;
  next_log_ = now + log_interval;
  logged_refusals_ += refused;
  log_event(
      log_level::warn, "memory-limit-reached",
      {{"refused", std::to_string(refused)},
       {"held_mb", std::to_string(budget_->held() / megabyte)},
       {"capacity_mb", std::to_string(budget_->capacity() / megabyte)},
       {"other_mb", std::to_string(budget_->other_use() / megabyte)},
       {"limit_mb", std::to_string(budget_->process_limit() / megabyte)}});
}

void memory_monitor::collect_metrics() {
  const auto set = [this](const char* what, double value) {
    gauges_.Add({{"what", what}}).Set(value);
  };
  set("limit_bytes", static_cast<double>(budget_->process_limit()));
  set("capacity_bytes", static_cast<double>(budget_->capacity()));
  set("held_bytes", static_cast<double>(budget_->held()));
  set("other_bytes", static_cast<double>(budget_->other_use()));
  set("refused", static_cast<double>(budget_->refused()));
  set("reclaimed", static_cast<double>(budget_->reclaimed()));
}

}  // namespace trestlepost::node

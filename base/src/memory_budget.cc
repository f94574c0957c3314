#include "trestlepost/base/memory_budget.h"

#include <algorithm>
#include <utility>

namespace trestlepost {
namespace {

// Parts of the process's limit, as divisors. The first is kept free, for what
// the allocator can't reuse and for work in progress.
constexpr std::size_t spare_divisor = 10;
constexpr std::size_t min_capacity_divisor = 4;
// Parts of the capacity up to which memory may be held, in eighths.
constexpr std::size_t large_answer_eighths = 2;
constexpr std::size_t large_request_eighths = 4;
constexpr std::size_t small_answer_eighths = 5;
constexpr std::size_t small_request_eighths = 6;
constexpr std::size_t short_request_eighths = 7;
// A share of up to this many bytes is one of a request without a body or with a
// short one.
constexpr std::size_t max_short_bytes = 40UL * 1024;

bool is_large(std::size_t bytes) {
  return bytes > memory_budget::max_small_bytes;
}

}  // namespace

memory_budget::memory_budget(std::size_t process_limit)
    : process_limit_(process_limit) {}

void memory_budget::set_process_limit(std::size_t bytes) {
  process_limit_ = bytes;
}

void memory_budget::set_other_use(std::size_t bytes) {
  other_use_ = bytes;
}

std::size_t memory_budget::capacity() const {
  const std::size_t usable = process_limit_ - process_limit_ / spare_divisor;
  const std::size_t least = process_limit_ / min_capacity_divisor;
  const std::size_t free = usable - std::min(usable, other_use_);
  return std::max(free, least);
}

std::size_t memory_budget::ceiling(std::size_t held, std::size_t bytes,
                                   memory_use use) const {
  constexpr std::size_t eighths = 8;
  const std::size_t all = capacity();
  if (use == memory_use::essential) return all;
  if (!is_large(bytes)) {
    if (use == memory_use::answer) return all / eighths * small_answer_eighths;
    const bool is_short = bytes <= max_short_bytes;
    return all / eighths *
           (is_short ? short_request_eighths : small_request_eighths);
  }
  if (use == memory_use::answer) return all / eighths * large_answer_eighths;
  // The largest request must succeed at some time.
  const std::size_t others = large_shares_ - (is_large(held) ? 1 : 0);
  return others == 0 ? all : all / eighths * large_request_eighths;
}

void memory_budget::replace(std::size_t held, std::size_t bytes) {
  held_ += bytes - held;
  if (is_large(held)) --large_shares_;
  if (is_large(bytes)) ++large_shares_;
}

bool memory_budget::reclaim_stalled(monotonic_time now) {
  const auto oldest = std::min_element(
      reclaimable_.begin(), reclaimable_.end(),
      [](const reclaimable_memory* a, const reclaimable_memory* b) {
        return a->last_progress() < b->last_progress();
      });
  if (oldest == reclaimable_.end()) return false;
  reclaimable_memory& stalled = **oldest;
  if (stalled.last_progress() + min_stall > now) return false;
  reclaimable_.erase(oldest);
  ++reclaimed_;
  stalled.reclaim();
  return true;
}

bool memory_budget::make_room(std::size_t held, std::size_t bytes,
                              memory_use use, monotonic_time now) {
  while (held_ - held + bytes > ceiling(held, bytes, use)) {
    if (reclaim_stalled(now)) continue;
    ++refused_;
    return false;
  }
  return true;
}

memory_share::memory_share(memory_share&& other) noexcept
    : budget_(std::move(other.budget_)),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_share& memory_share::operator=(memory_share&& other) noexcept {
  if (this == &other) return *this;
  clear();
  budget_ = std::move(other.budget_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool memory_share::grow_to(std::size_t bytes, memory_use use,
                           monotonic_time now) {
  const bool grows = budget_ && bytes > bytes_;
  if (grows && !budget_->make_room(bytes_, bytes, use, now)) return false;
  if (grows) set(bytes);
  return true;
}

void memory_share::set(std::size_t bytes) {
  if (budget_) budget_->replace(bytes_, bytes);
  bytes_ = budget_ ? bytes : 0;
}

}  // namespace trestlepost

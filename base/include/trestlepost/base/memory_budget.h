// Bounds the memory that callers, operators, endpoints and other nodes make a
// process hold: bodies, answers and connections are paid for out of one budget.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <utility>

#include "trestlepost/base/clock.h"

namespace trestlepost {

/// What memory is held for. Essential are calls that the platform and other
/// nodes depend on.
enum class memory_use { request, answer, essential };

/// A holder whose memory can be taken back, such as a body that is being read.
class reclaimable_memory {
 public:
  virtual ~reclaimable_memory() = default;
  virtual monotonic_time last_progress() const = 0;
  /// Gives up what is held and clears its share.
  virtual void reclaim() = 0;
};

/// The memory of a process. A charge is refused when it would exceed the part
/// of the budget that its use may fill: first those of large requests and
/// answers, then of small answers, which can be passed on without being held,
/// then of small requests, and last what is essential.
class memory_budget {
 public:
  /// `process_limit`: bytes that the process may use in all.
  explicit memory_budget(std::size_t process_limit);

  void set_process_limit(std::size_t bytes);
  /// Sets how many bytes the process uses for anything but shares, such as its
  /// configuration.
  void set_other_use(std::size_t bytes);

  std::size_t process_limit() const { return process_limit_; }
  std::size_t other_use() const { return other_use_; }
  /// The bytes that shares may hold together.
  std::size_t capacity() const;
  /// The bytes that shares hold.
  std::size_t held() const { return held_; }
  /// The number of charges that were refused.
  std::uint64_t refused() const { return refused_; }
  /// The number of holders whose memory was taken back.
  std::uint64_t reclaimed() const { return reclaimed_; }

  /// Registers a holder until it is removed or reclaimed.
  void add_reclaimable(reclaimable_memory& it) { reclaimable_.insert(&it); }
  void remove_reclaimable(reclaimable_memory& it) { reclaimable_.erase(&it); }

  /// A share of up to this many bytes is small.
  static constexpr std::size_t max_small_bytes = 96UL * 1024;

 private:
  friend class memory_share;

  /// Returns whether a share of `held` bytes may hold `bytes`. Takes back the
  /// memory of holders without progress if that is necessary.
  bool make_room(std::size_t held, std::size_t bytes, memory_use use,
                 monotonic_time now);
  /// Replaces a share of `held` bytes by one of `bytes`.
  void replace(std::size_t held, std::size_t bytes);
  /// The bytes that all shares may hold together, if one of `bytes` is added or
  /// replaces one of `held`.
  std::size_t ceiling(std::size_t held, std::size_t bytes,
                      memory_use use) const;
  /// Takes back the memory of the holder that has made no progress for longest.
  /// Returns false if all are making progress.
  bool reclaim_stalled(monotonic_time now);

  /// A holder without progress for this long may lose its memory.
  static constexpr std::chrono::milliseconds min_stall{500};

  std::size_t process_limit_;
  std::size_t other_use_ = 0;
  std::size_t held_ = 0;
  std::size_t large_shares_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t reclaimed_ = 0;
  std::set<reclaimable_memory*> reclaimable_;
};

/// What one body, answer or connection holds of a budget, until the object ends
/// or is cleared.
class memory_share {
 public:
  memory_share() = default;
  /// Without a budget there is no bound.
  explicit memory_share(std::shared_ptr<memory_budget> budget)
      : budget_(std::move(budget)) {}
  ~memory_share() { clear(); }
  memory_share(memory_share&& other) noexcept;
  memory_share& operator=(memory_share&& other) noexcept;

  /// Returns whether the share may hold `bytes` in all.
  bool grow_to(std::size_t bytes, memory_use use, monotonic_time now);
  /// Holds `bytes` in all, also beyond the budget.
  void set(std::size_t bytes);
  void clear() { set(0); }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<memory_budget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace trestlepost

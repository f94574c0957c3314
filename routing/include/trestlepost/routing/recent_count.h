// Counts events of the last ten seconds.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Counts events in steps of a second, so that it never counts one that is
/// older than ten seconds. `now` must not decrease.
class recent_count {
 public:
  void add(monotonic_time now) {
    advance(now);
    ++counts_[index_of(second_)];
  }

  std::size_t count(monotonic_time now) {
    advance(now);
    std::size_t out = 0;
    for (const std::size_t n : counts_) out += n;
    return out;
  }

 private:
  static constexpr std::chrono::seconds window{10};

  static std::size_t index_of(std::chrono::seconds second) {
    return static_cast<std::size_t>(second.count()) % window.count();
  }

  /// Clears the seconds that began since the last call.
  void advance(monotonic_time now) {
    const std::chrono::seconds current =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    second_ = std::max(second_, current - window);
    while (second_ < current) {
      ++second_;
      counts_[index_of(second_)] = 0;
    }
  }

  std::array<std::size_t, window.count()> counts_{};
  std::chrono::seconds second_{0};  // the last one that was counted
};

}  // namespace trestlepost::routing

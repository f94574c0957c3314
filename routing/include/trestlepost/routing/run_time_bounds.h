// Bounds of the time that requests take, learned from recent ones.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Keeps for each kind of request the longest time that a recent one has taken.
/// Callers choose the kinds, such as a route and a service.
class run_time_bounds {
 public:
  /// Returns `expected` with the margin that bounds have over what was seen.
  static std::chrono::nanoseconds with_margin(
      std::chrono::nanoseconds expected);

  void begin(const std::string& kind, monotonic_time began);
  /// Ends a request that began at `began`. If it is not `complete`, a whole one
  /// takes at least as long.
  void end(const std::string& kind, monotonic_time began, monotonic_time now,
           bool complete);

  /// Returns the time that a request of this kind takes at most, or nothing if
  /// it is unknown: few requests were completed recently, or one in progress
  /// has already taken longer than any of them.
  std::optional<std::chrono::nanoseconds> bound(const std::string& kind,
                                                monotonic_time now) const;

 private:
  struct observations {
    std::chrono::nanoseconds longest{0};
    std::size_t completed = 0;
  };
  using window = std::map<std::string, observations>;

  void rotate(monotonic_time now);
  observations recent(const std::string& kind, monotonic_time now) const;

  window current_;
  window previous_;
  monotonic_time current_since_{};
  std::map<std::string, std::multiset<monotonic_time>> in_progress_;
};

}  // namespace trestlepost::routing

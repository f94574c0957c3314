// Divides the little that limited endpoints take among requests of different
// priority.
#pragma once

#include <map>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"

namespace trestlepost::routing {

/// While more urgent requests are refused, most of the less urgent ones are
/// refused too, so that what becomes free is left to the more urgent.
class urgency_share {
 public:
  /// Records that a request was refused. Priority 0 is the most urgent.
  void record_refused(int priority, monotonic_time now);

  /// Returns whether a request may take what is free.
  bool admits(int priority, random_source& random, monotonic_time now) const;

 private:
  std::map<int, monotonic_time> refused_at_;  // by priority
};

}  // namespace trestlepost::routing

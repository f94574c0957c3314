// The time at which a node that is stopping ends the work in progress.
#pragma once

#include <algorithm>

#include "trestlepost/base/clock.h"

namespace trestlepost::gateway {

/// Has no effect until the node's planned stop begins.
class stop_deadline {
 public:
  /// Begins the stop. Work that is in progress at `ends_at` is ended then.
  void begin(monotonic_time ends_at) { ends_at_ = ends_at; }

  bool stopping() const { return ends_at_ != monotonic_time::max(); }
  monotonic_time ends_at() const { return ends_at_; }
  /// Returns the earlier of `deadline` and the end of the work.
  monotonic_time bound(monotonic_time deadline) const {
    return std::min(deadline, ends_at_);
  }

 private:
  monotonic_time ends_at_ = monotonic_time::max();
};

}  // namespace trestlepost::gateway

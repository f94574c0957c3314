// Decides when a node that has started accepts its callers.
#pragma once

#include <functional>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

/// Leaves callers in the kernel's queue of connections until the node has a
/// configuration. When all gateways have lost their state at once, all callers
/// return at once, and refusing them takes the CPU time that a small VM needs to
/// receive its configuration.
class delayed_accept {
 public:
  /// `accept` starts to accept callers.
  delayed_accept(const clock_source& clock, std::function<void()> accept)
      : clock_(clock), accept_(std::move(accept)) {}

  void start() { started_at_ = clock_.now(); }
  /// Accepts callers if the node has a configuration, or if they would otherwise
  /// be kept waiting without an answer for too long.
  void tick(bool has_configuration);

 private:
  const clock_source& clock_;
  std::function<void()> accept_;
  monotonic_time started_at_;
  bool accepting_ = false;
};

}  // namespace trestlepost::node

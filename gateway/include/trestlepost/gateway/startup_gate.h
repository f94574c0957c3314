// Lets requests wait for state that a recently started node has not received
// yet.
#pragma once

#include <chrono>
#include <memory>
#include <vector>

#include "trestlepost/transport/asio.h"

namespace trestlepost::gateway {

/// Requests that wait for the same state. They are woken together when it may
/// have changed, since a timer for each check of each request takes most of a
/// small VM's CPU time when all callers return after an outage.
class startup_gate {
 public:
  explicit startup_gate(transport::asio::io_context& io) : io_(io) {}

  /// Waits until `wake_all`, at most for `time`.
  transport::awaitable<void> wait(std::chrono::milliseconds time);
  /// Wakes the requests that are waiting now.
  void wake_all();
  bool empty() const { return waiting_.empty(); }

 private:
  transport::asio::io_context& io_;
  std::vector<std::shared_ptr<transport::timer>> waiting_;
};

}  // namespace trestlepost::gateway

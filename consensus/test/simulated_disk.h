// A simulated disk in memory that can tear writes and crash its node.
#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus::test {

/// Thrown by a simulated disk when its node crashes.
struct crash_signal {};

/// Disk contents of one node. `skip_sync` injects a defect: saves do not reach
/// the disk.
struct simulated_disk {
  std::uint64_t incarnation = 1;
  durable_state state;
  bool skip_sync = false;
  int crash_before_sync = -1;  // number of saves before the crash; -1: never
  int crash_after_sync = -1;
  /// Whether a started write ends only when `pending_write` is called.
  bool slow = false;
  std::function<void()> pending_write;
};

/// Storage on a simulated disk that can crash its node before or after a sync.
class simulated_storage final : public storage {
 public:
  explicit simulated_storage(simulated_disk& disk) : disk_(disk) {}
  result<durable_state> load() override;
  result<void> save(const write_batch& batch) override;
  result<void> compact(const snapshot& base, const hard_state& hard,
                       const std::vector<entry>& entries) override;
  void start_save(const write_batch& batch, const completion& done) override;
  void start_compact(const snapshot& base, const hard_state& hard,
                     const std::vector<entry>& entries,
                     const completion& done) override;
  void wait() override;

 private:
  /// Runs the write now, or later if the disk is slow.
  void start(std::function<void()> write);

  simulated_disk& disk_;
  durable_state buffered_;
};

}  // namespace trestlepost::consensus::test

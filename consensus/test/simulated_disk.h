// A disk in memory that tears writes and dies when a test says so.
#pragma once

#include <cstdint>
#include <vector>

#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus::test {

/// Thrown by a simulated disk at the moment at which its node dies.
struct crash_signal {};

/// What one node's disk holds. `skip_sync` breaks it on purpose.
struct simulated_disk {
  std::uint64_t incarnation = 1;
  durable_state state;
  bool skip_sync = false;
  int crash_before_sync = -1;  // counts down saves; -1 is never
  int crash_after_sync = -1;
};

/// A storage on a simulated disk, which can fail before or after a sync.
class simulated_storage final : public storage {
 public:
  explicit simulated_storage(simulated_disk& disk) : disk_(disk) {}
  result<durable_state> load() override;
  result<void> save(const write_batch& batch) override;
  result<void> compact(const snapshot& base, const hard_state& hard,
                       const std::vector<entry>& entries) override;

 private:
  simulated_disk& disk_;
  durable_state live_;
};

}  // namespace trestlepost::consensus::test

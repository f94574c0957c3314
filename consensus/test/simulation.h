// A group of replicas over a simulated network and simulated disks, inside one
// test process. All faults come from one seed.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
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

struct simulation_options {
  std::uint64_t seed = 1;
  int steps = 3000;
  replica_options replica;
  bool skip_sync = false;
  bool lose_disks = true;
  bool reuse_incarnation = false;  // a lost disk comes back under its old name
};

struct simulation_outcome {
  std::vector<std::string> violations;
  std::size_t acknowledged = 0;
  std::size_t leaders = 0;
  std::size_t disks_lost = 0;
  bool converged = false;
};

/// Runs a schedule of faults, then heals everything and waits for agreement.
simulation_outcome simulate(const simulation_options& options);

}  // namespace trestlepost::consensus::test

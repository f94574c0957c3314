// Deterministic simulation of a group of replicas on a simulated network and
// simulated disks. All faults derive from one seed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "simulated_disk.h"

namespace trestlepost::consensus::test {

/// Options of a run; equal options give identical runs.
struct simulation_options {
  std::uint64_t seed = 1;
  int steps = 3000;
  replica_options replica;
  bool skip_sync = false;  // fault injection: saves do not reach the disk
  bool lose_disks = true;
  /// Fault injection: a replaced disk has the incarnation of the lost one.
  bool reuse_incarnation = false;
};

/// The violated properties of a run, and how often each event occurred.
struct simulation_outcome {
  std::vector<std::string> violations;
  std::size_t acknowledged = 0;
  std::size_t leaders = 0;
  std::size_t disks_lost = 0;
  bool converged = false;  // the replicas agree after the faults
};

/// Runs a random schedule of faults, then ends all faults and waits until the
/// replicas agree.
simulation_outcome simulate(const simulation_options& options);

}  // namespace trestlepost::consensus::test

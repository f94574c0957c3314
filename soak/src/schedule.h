// Generates a schedule of faults from a seed; the same seed gives the same
// schedule.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace trestlepost::soak {

enum class fault_kind {
  kill,    // SIGKILL, then a start
  freeze,  // SIGSTOP, then SIGCONT
  stop,    // SIGTERM, then a start
  wipe,    // SIGKILL, the data folder is lost, then a start
  reload   // SIGHUP
};

std::string to_string(fault_kind kind);

struct fault {
  fault_kind kind = fault_kind::kill;
  std::string node;
  std::chrono::milliseconds begin{0};
  /// When the fault ends; equal to `begin` for a reload.
  std::chrono::milliseconds end{0};
};

struct schedule_options {
  std::vector<std::string> control_nodes;
  std::vector<std::string> entries;
  std::chrono::milliseconds span{0};  // all faults begin within it
};

/// Returns the faults ordered by `begin`. At most one control node is faulty at
/// a time, so that a majority remains. Faults of different entries overlap with
/// those of control nodes and with each other.
std::vector<fault> make_schedule(std::uint64_t seed,
                                 const schedule_options& options);

}  // namespace trestlepost::soak

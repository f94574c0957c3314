// Which faults strike which nodes, and when: drawn from a seed, and the same
// each time.
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
  /// When the node runs again.
  std::chrono::milliseconds end{0};
};

struct schedule_options {
  std::vector<std::string> control_nodes;
  std::vector<std::string> entries;
  std::chrono::milliseconds span{0};
};

/// Faults by their begin. One control node is struck at a time, so that a
/// majority stays; those of entries overlap with them and with each other.
std::vector<fault> draw_schedule(std::uint64_t seed,
                                 const schedule_options& options);

}  // namespace trestlepost::soak

// Generates a schedule of faults from a seed; the same seed gives the same
// schedule.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace trestlepost::soak {

enum class fault_kind {
  kill,    // SIGKILL, then a start
  freeze,  // SIGSTOP, then SIGCONT
  stop,    // SIGTERM, then a start
  wipe,    // SIGKILL, the data folder is lost, then a start
  reload,  // SIGHUP
  // Partitions of an entry from all endpoints; its open connections fall silent
  // or are reset.
  partition,
  reset_partition,
  // Faults of an endpoint; it serves normally at the end.
  refuse,           // rejects requests without running them
  overload,         // runs few requests at once, slowly; rejects the others
  fail,             // answers with a server error
  hang,             // answers too late
  pause,            // reads nothing; what was sent arrives at the end
  close_streams,    // closes connections within streams
  silence_streams,  // stalls within streams
  limit,            // states a request limit
  crash,            // aborts its requests, and is back after a second
  undelimited       // answers have no length; combines with the other faults
};

std::string to_string(fault_kind kind);
/// Reads a name that `to_string` writes; nothing if it names no kind.
std::optional<fault_kind> parse_fault_kind(const std::string& text);

struct fault {
  fault_kind kind = fault_kind::kill;
  std::string target;  // name of a node, or id of an endpoint
  std::chrono::milliseconds begin{0};
  /// When the fault ends; equal to `begin` for a reload.
  std::chrono::milliseconds end{0};
};

struct schedule_options {
  std::vector<std::string> control_nodes;
  std::vector<std::string> entries;
  std::vector<std::string> endpoints;
  std::chrono::milliseconds span{0};  // all faults begin within it
  /// Endpoints state request limits most of the time. Entries are killed one at
  /// a time, since one that has restarted must be told the limits again.
  bool limits = false;
  /// Requests crash endpoints. Control nodes are faulty in the first third
  /// only, and entries one at a time, so that most gateways know of the
  /// crashes.
  bool crashes = false;
  /// A zone is evacuated and put back into service. Control nodes are suspended
  /// most of the time, so that orders wait in them, also all at once; entries
  /// are faulty, each by itself.
  bool evacuations = false;
  /// If not empty, all faults of other kinds are left out.
  std::vector<fault_kind> only;
};

/// Returns the faults ordered by `begin`. At most one control node is faulty at
/// a time, so that a majority remains. All other faults overlap; some strike
/// all endpoints at once, or suspend all entries at once.
std::vector<fault> make_schedule(std::uint64_t seed,
                                 const schedule_options& options);

}  // namespace trestlepost::soak

// Deterministic simulation of a control group that one seed founds and that
// grows by joins, under faults: machines change addresses, lose their disks,
// are replaced and removed, while operators submit numbered plans concurrently.
// The random seed determines all faults.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "plan_operators.h"

namespace trestlepost::config::test {

// The checked properties of the group, as named in violations.
inline constexpr char single_group[] = "at most one group is founded";
inline constexpr char single_leader[] = "one leader per term";
inline constexpr char single_lease[] = "one lease at a time";
inline constexpr char convergence[] = "all machines are members";

/// Options of a run; equal options give identical runs.
struct growth_options {
  std::uint64_t seed = 1;
  int steps = 1000;
  std::size_t tolerated_losses = 2;
  int clock_spread_percent = 3;

  // Fault injection:
  bool acknowledge_early = false;  // don't wait for enough voters
  bool reuse_incarnation = false;  // a machine with an erased disk keeps its id
  bool skip_number_check = false;  // the latest plan is in force
  bool found_at_every_start = false;  // instead of at the first start only
  read_mode reads = read_mode::production;
};

/// A violated property, and a description of what was observed.
struct violation {
  std::string property;
  std::string what;
};

/// The violations of a run, and how often each event occurred.
struct growth_outcome {
  std::vector<violation> violations;
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
  std::size_t leaders = 0;
  std::size_t simultaneous_losses = 0;  // of as many disks as are tolerated
  std::size_t initial_losses = 0;       // before any other fault
  std::size_t moves = 0;                // address changes
  std::size_t replaced = 0;
  std::size_t retired = 0;
  std::size_t largest_group = 0;

  /// Whether `property` was violated.
  bool violated(const std::string& property) const;
};

/// Runs a schedule of faults, then removes all faults and checks that the group
/// converges: all machines are members at their current addresses, and a final
/// plan is acknowledged and read.
growth_outcome simulate_growth(const growth_options& options);

}  // namespace trestlepost::config::test

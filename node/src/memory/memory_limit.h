// Determines how much memory this process may use.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace trestlepost::node {

/// The memory that is used without the setting `limits.memory_mb`, unless the
/// system allows less.
inline constexpr std::size_t default_memory_limit = 160UL * 1024 * 1024;

/// Returns the lowest limit in bytes that the system sets this process: of its
/// control groups, its address space, its data, and the machine's memory.
/// Nullopt if it tells none.
std::optional<std::size_t> system_memory_limit();

/// Returns the limit in bytes of the control group that a line of
/// /proc/self/cgroup names, the lowest of it and the groups above it. `root`:
/// where the file systems of control groups are mounted.
std::optional<std::size_t> control_group_limit(const std::string& line,
                                               const std::string& root);

/// Returns the limit in bytes: `configured`, or the default if that is 0, and
/// no more than the system allows.
std::size_t memory_limit_of(std::size_t configured);

}  // namespace trestlepost::node

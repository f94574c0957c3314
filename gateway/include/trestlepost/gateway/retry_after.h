// Retry-After times for refused requests, by cause. Each is about the time
// until the cause is resolved.
#pragma once

#include <chrono>

namespace trestlepost::gateway {

/// The node has not received a traffic plan yet. Nodes receive it about one
/// second after they start: 0.4 to 1.3 s were measured after power losses.
inline constexpr std::chrono::milliseconds retry_after_no_plan{1000};

/// No permitted endpoint or region is available. Network partitions,
/// evacuations and region failures last for seconds. Callers wait for at most a
/// third of their remaining time.
inline constexpr std::chrono::milliseconds retry_after_unavailable{2000};

/// Large requests use up the memory for bodies. Each is held while it runs.
inline constexpr std::chrono::milliseconds retry_after_no_memory{1000};

/// Another node can serve the request immediately.
inline constexpr std::chrono::milliseconds retry_after_wrong_node{300};

/// The request is held until an operator releases it or the caller changes it,
/// so an early retry is useless.
inline constexpr std::chrono::milliseconds retry_after_held{300'000};

}  // namespace trestlepost::gateway

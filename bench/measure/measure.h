// Measurements on a deployment of real processes; each prints its results and
// returns the exit status.
#pragma once

namespace trestlepost::measure {

/// Measures the latency that a gateway adds, its CPU use by request rate and
/// its memory.
int measure_overhead();

/// Measures configuration changes: rate, latency, time until they are in force
/// on all nodes, time without a leader and restart time. Includes
/// `measure_idle`.
int measure_config();

/// Measures the peer traffic and CPU use of nodes without requests, at rest and
/// with one change per second, at the default timing.
int measure_idle();

/// Compares region policies under load and faults, in one run for each seed
/// from 1 to `repeats`.
int measure_policy(unsigned repeats);

}  // namespace trestlepost::measure

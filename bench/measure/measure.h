// Measurements on a deployment of real processes; each prints its results and
// returns the exit status.
#pragma once

namespace trestlepost::measure {

/// Latency that a gateway adds, its CPU use by request rate, its memory.
int measure_overhead();

/// Configuration changes: rate, latency, time until in force on all nodes, time
/// without a leader, restart time.
int measure_config();

/// Peer traffic and CPU use of nodes without requests, at rest and with one
/// change per second, at the default timing.
int measure_idle();

/// Region policies compared under load and faults; a run for each seed from 1
/// to `repeats`.
int measure_policy(unsigned repeats);

}  // namespace trestlepost::measure

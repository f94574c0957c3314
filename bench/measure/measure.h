// Measurements over a deployment of real processes.
#pragma once

namespace trestlepost::measure {

/// Time that a gateway adds to a request, its highest rate, its memory.
int measure_overhead();

/// Changes of the configuration: rate, latency, time in force, gaps.
int measure_config();

/// Bytes and CPU that nodes spend on control, with the shipped timing.
int measure_rest();

/// Policies side by side under load and faults.
int measure_policy(unsigned repeats);

}  // namespace trestlepost::measure

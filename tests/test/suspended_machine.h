// Simulates the suspension of the machine for the test program.
#pragma once

#include <chrono>

namespace trestlepost::test {

/// Advances the clocks that include suspended time, CLOCK_BOOTTIME and
/// CLOCK_REALTIME, by `time`. CLOCK_MONOTONIC and its timers are unaffected.
void suspend_machine(std::chrono::nanoseconds time);

}  // namespace trestlepost::test

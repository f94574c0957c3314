#include "suspended_machine.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

namespace {

constexpr std::int64_t ns_per_second = 1'000'000'000;

std::atomic<std::int64_t> suspended_ns{0};

bool counts_suspension(clockid_t clock) {
  return clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME;
}

}  // namespace

/// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* at) noexcept {
  const long failed = ::syscall(SYS_clock_gettime, clock, at);
  if (failed != 0 || !counts_suspension(clock)) return static_cast<int>(failed);
  const std::int64_t ns = at->tv_nsec + suspended_ns.load();
  at->tv_sec += ns / ns_per_second;
  at->tv_nsec = ns % ns_per_second;
  return 0;
}

namespace trestlepost::test {

void suspend_machine(std::chrono::nanoseconds time) {
  suspended_ns += time.count();
}

}  // namespace trestlepost::test

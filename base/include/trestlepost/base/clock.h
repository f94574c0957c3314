// Clocks. Decision code reads time through `clock_source`, so that tests can
// control it.
#pragma once

#include <chrono>
#include <string>

namespace trestlepost {

/// Steady clock that includes time for which the machine is suspended
/// (CLOCK_BOOTTIME). `std::chrono::steady_clock` stops during a suspension, so
/// leases and deadlines that have expired would still look valid.
struct boot_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/// Monotonic time. It advances while the process is frozen or the machine is
/// suspended.
using monotonic_time = boot_clock::time_point;
/// Calendar time, for records that outlive the process.
using wall_time = std::chrono::system_clock::time_point;

/// Provides monotonic and calendar time.
class clock_source {
 public:
  virtual ~clock_source() = default;
  virtual monotonic_time now() const = 0;
  virtual wall_time wall_now() const = 0;
};

/// Reads the system clocks.
class system_clock_source final : public clock_source {
 public:
  monotonic_time now() const override;
  wall_time wall_now() const override;
};

/// Converts to and from milliseconds since the Unix epoch, the format of stored
/// and transmitted times.
std::int64_t to_unix_ms(wall_time at);
wall_time from_unix_ms(std::int64_t ms);

/// Formats as ISO 8601 in UTC, for example "2026-12-02T10:00:00.000Z".
std::string format_utc(wall_time at);

}  // namespace trestlepost

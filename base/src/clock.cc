#include "trestlepost/base/clock.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace trestlepost {

boot_clock::time_point boot_clock::now() noexcept {
  std::timespec at{};
  // CLOCK_BOOTTIME exists since Linux 2.6.39; reading it cannot fail.
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  return time_point(std::chrono::seconds(at.tv_sec) +
                    std::chrono::nanoseconds(at.tv_nsec));
}

monotonic_time system_clock_source::now() const {
  return boot_clock::now();
}

wall_time system_clock_source::wall_now() const {
  return std::chrono::system_clock::now();
}

std::int64_t to_unix_ms(wall_time at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

wall_time from_unix_ms(std::int64_t ms) {
  return wall_time(std::chrono::milliseconds(ms));
}

std::string format_utc(wall_time at) {
  constexpr std::int64_t ms_per_second = 1000;
  const std::int64_t ms = to_unix_ms(at);
  const std::time_t seconds = static_cast<std::time_t>(ms / ms_per_second);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  const std::size_t n =
      std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
  std::array<char, 16> tail{};
  std::snprintf(tail.data(), tail.size(), ".%03dZ",
                static_cast<int>(ms % ms_per_second));
  return std::string(buf.data(), n) + tail.data();
}

}  // namespace trestlepost

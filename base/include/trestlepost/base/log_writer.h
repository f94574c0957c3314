// Non-blocking log output, so that a slow reader of the log cannot stall the
// process. Lines are buffered up to a limit, then dropped and counted.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "trestlepost/base/clock.h"

namespace trestlepost {

/// Writes lines to a file descriptor without blocking.
class log_writer {
 public:
  /// Maximum size of the buffer in bytes.
  static constexpr std::size_t default_capacity = 256UL * 1024;

  explicit log_writer(int fd, std::size_t capacity = default_capacity)
      : fd_(fd), capacity_(capacity) {}

  /// Queues a line, which includes its line break, and flushes. Drops the line
  /// if the buffer is full.
  void push(std::string line);
  /// Writes as much of the buffer as possible without blocking.
  void flush();

  std::uint64_t lines_dropped() const { return dropped_; }

 private:
  bool is_writable() const;

  int fd_;
  std::size_t capacity_;
  std::deque<std::string> queue_;
  std::size_t queued_bytes_ = 0;
  std::size_t front_written_ = 0;
  std::uint64_t dropped_ = 0;
};

/// Token bucket for each event name, which limits its rate of log lines.
class log_rate_limiter {
 public:
  struct options {
    double lines_per_second = 100;
    double burst = 300;
  };

  explicit log_rate_limiter(options limits) : limits_(limits) {}

  struct decision {
    bool write = true;
    /// Lines of this event dropped since the last one that was written.
    std::uint64_t dropped_before = 0;
  };
  /// Decides whether the event may be written at `now`, and counts it if not.
  decision admit(std::string_view event, monotonic_time now);

 private:
  struct bucket {
    double tokens = 0;
    monotonic_time at;
    std::uint64_t dropped = 0;
  };

  options limits_;
  std::map<std::string, bucket, std::less<>> buckets_;
};

}  // namespace trestlepost

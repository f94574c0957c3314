// Keeps logging from ever stopping the process: lines that the reader of the
// output does not take in time wait in a bounded buffer, and then are left
// out and counted.
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

/// Writes whole lines to a file descriptor without waiting for its reader.
class log_writer {
 public:
  /// Bytes that may wait for the reader.
  static constexpr std::size_t default_capacity = 256UL * 1024;

  explicit log_writer(int fd, std::size_t capacity = default_capacity)
      : fd_(fd), capacity_(capacity) {}

  /// Takes a line, with its end of line; leaves it out when the buffer is
  /// full.
  void push(std::string line);
  /// Writes what the reader takes now.
  void flush();

  std::uint64_t lines_left_out() const { return left_out_; }

 private:
  bool may_write() const;

  int fd_;
  std::size_t capacity_;
  std::deque<std::string> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::size_t written_of_first_ = 0;
  std::uint64_t left_out_ = 0;
};

/// Bounds the lines of each kind of event.
class log_rate_limiter {
 public:
  struct options {
    double lines_per_second = 100;
    double burst = 300;
  };

  explicit log_rate_limiter(options limits) : limits_(limits) {}

  struct verdict {
    bool write = true;
    /// Lines of this kind left out since the last one that was written.
    std::uint64_t left_out_before = 0;
  };
  verdict ask(std::string_view event, monotonic_time now);

 private:
  struct bucket {
    double tokens = 0;
    monotonic_time at;
    std::uint64_t left_out = 0;
  };

  options limits_;
  std::map<std::string, bucket, std::less<>> buckets_;
};

}  // namespace trestlepost

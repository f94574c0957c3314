#include "trestlepost/base/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace trestlepost {

bool log_writer::is_writable() const {
  pollfd request{fd_, POLLOUT, 0};
  return ::poll(&request, 1, 0) > 0 && (request.revents & POLLOUT) != 0;
}

void log_writer::push(std::string line) {
  if (queued_bytes_ + line.size() > capacity_) flush();
  if (queued_bytes_ + line.size() > capacity_) {
    ++dropped_;
    return;
  }
  queued_bytes_ += line.size();
  queue_.push_back(std::move(line));
  flush();
}

void log_writer::flush() {
  while (!queue_.empty() && is_writable()) {
    const std::string& line = queue_.front();
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t n =
        std::min<std::size_t>(line.size() - front_written_, PIPE_BUF);
    const ssize_t written = ::write(fd_, line.data() + front_written_, n);
    if (written <= 0) return;
    front_written_ += static_cast<std::size_t>(written);
    if (front_written_ < line.size()) continue;
    queued_bytes_ -= line.size();
    queue_.pop_front();
    front_written_ = 0;
  }
}

log_rate_limiter::decision log_rate_limiter::admit(std::string_view event,
                                                   monotonic_time now) {
  auto it = buckets_.find(event);
  if (it == buckets_.end()) {
    it = buckets_.emplace(std::string(event), bucket{limits_.burst, now, 0})
             .first;
  }
  bucket& entry = it->second;
  const std::chrono::duration<double> passed = now - entry.at;
  entry.tokens = std::min(
      limits_.burst, entry.tokens + passed.count() * limits_.lines_per_second);
  entry.at = now;
  if (entry.tokens < 1) {
    ++entry.dropped;
    return {false, 0};
  }
  entry.tokens -= 1;
  const decision out{true, entry.dropped};
  entry.dropped = 0;
  return out;
}

}  // namespace trestlepost

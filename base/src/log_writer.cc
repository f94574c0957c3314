#include "trestlepost/base/log_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace trestlepost {

bool log_writer::may_write() const {
  pollfd one{fd_, POLLOUT, 0};
  return ::poll(&one, 1, 0) > 0 && (one.revents & POLLOUT) != 0;
}

void log_writer::push(std::string line) {
  if (waiting_bytes_ + line.size() > capacity_) flush();
  if (waiting_bytes_ + line.size() > capacity_) {
    ++left_out_;
    return;
  }
  waiting_bytes_ += line.size();
  waiting_.push_back(std::move(line));
  flush();
}

void log_writer::flush() {
  while (!waiting_.empty() && may_write()) {
    const std::string& line = waiting_.front();
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t n =
        std::min<std::size_t>(line.size() - written_of_first_, PIPE_BUF);
    const ssize_t written = ::write(fd_, line.data() + written_of_first_, n);
    if (written <= 0) return;
    written_of_first_ += static_cast<std::size_t>(written);
    if (written_of_first_ < line.size()) continue;
    waiting_bytes_ -= line.size();
    waiting_.pop_front();
    written_of_first_ = 0;
  }
}

log_rate_limiter::verdict log_rate_limiter::ask(std::string_view event,
                                                monotonic_time now) {
  auto it = buckets_.find(event);
  if (it == buckets_.end()) {
    it = buckets_.emplace(std::string(event), bucket{limits_.burst, now, 0})
             .first;
  }
  bucket& one = it->second;
  const std::chrono::duration<double> passed = now - one.at;
  one.tokens = std::min(limits_.burst,
                        one.tokens + passed.count() * limits_.lines_per_second);
  one.at = now;
  if (one.tokens < 1) {
    ++one.left_out;
    return {false, 0};
  }
  one.tokens -= 1;
  const verdict out{true, one.left_out};
  one.left_out = 0;
  return out;
}

}  // namespace trestlepost

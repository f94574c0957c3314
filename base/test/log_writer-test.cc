// Tests that logging neither blocks on a stalled reader nor truncates lines,
// and that each event has its own rate limit.
#include "trestlepost/base/log_writer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>

namespace trestlepost {
namespace {

using std::chrono::milliseconds;

/// Pipe whose reader reads only on request.
class pipe_pair {
 public:
  pipe_pair() { EXPECT_EQ(::pipe(ends_.data()), 0); }
  ~pipe_pair() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  int in() const { return ends_[1]; }
  /// Reads what is available without blocking.
  std::string read_all() const {
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string out;
    std::array<char, 4096> buf{};
    while (true) {
      const ssize_t n = ::read(ends_[0], buf.data(), buf.size());
      if (n <= 0) return out;
      out.append(buf.data(), static_cast<std::size_t>(n));
    }
  }

 private:
  std::array<int, 2> ends_{};
};

TEST(log_writer_test, does_not_block_on_a_stalled_reader) {
  const pipe_pair pipe;
  log_writer writer(pipe.in(), 10'000);
  const std::string line(999, 'x');
  for (int i = 0; i < 1000; ++i) writer.push(line + "\n");
  EXPECT_GT(writer.lines_dropped(), 0U);
  std::string seen = pipe.read_all();
  writer.flush();
  seen += pipe.read_all();
  // No line is truncated: each is either written completely or counted.
  EXPECT_EQ(seen.size() % 1000, 0U);
  EXPECT_EQ(seen.size() / 1000 + writer.lines_dropped(), 1000U);
}

TEST(log_writer_test, writes_long_lines_completely) {
  const pipe_pair pipe;
  log_writer writer(pipe.in());
  const std::string line(20'000, 'y');
  writer.push(line + "\n");
  std::string seen = pipe.read_all();
  writer.flush();
  seen += pipe.read_all();
  EXPECT_EQ(seen, line + "\n");
}

TEST(log_rate_limiter_test, limits_each_event_separately) {
  log_rate_limiter limiter({10, 5});
  const monotonic_time now{std::chrono::hours(1)};
  for (int i = 0; i < 5; ++i) EXPECT_TRUE(limiter.admit("done", now).write);
  EXPECT_FALSE(limiter.admit("done", now).write);
  EXPECT_FALSE(limiter.admit("done", now).write);
  EXPECT_TRUE(limiter.admit("failed", now).write);
  const log_rate_limiter::decision later =
      limiter.admit("done", now + milliseconds(100));
  EXPECT_TRUE(later.write);
  EXPECT_EQ(later.dropped_before, 2U);
}

}  // namespace
}  // namespace trestlepost

// A child process of a test.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace trestlepost::test {

class process {
 public:
  /// Starts a program; its output goes to `log`.
  process(const std::vector<std::string>& command, const std::string& folder,
          const std::string& log);
  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  ~process();

  void signal(int number) const;
  /// Ends it at once and reaps it.
  void kill();
  /// Waits for its end; the exit status, or 128 plus the signal's number.
  int wait();
  bool running();
  /// CPU time that it has used.
  std::chrono::milliseconds cpu_time() const;
  /// Resident memory.
  std::uint64_t resident_bytes() const;

 private:
  pid_t id_ = -1;
};

}  // namespace trestlepost::test

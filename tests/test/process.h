// Child process of a test; it is killed when the object or the test ends.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace trestlepost::test {

class process {
 public:
  /// Starts a program in `folder`; its output is appended to `log`. Throws if
  /// it cannot be started.
  process(const std::vector<std::string>& command, const std::string& folder,
          const std::string& log);
  process(process&& other) noexcept;
  process& operator=(process&& other) noexcept;
  ~process();

  void signal(int number) const;
  /// Waits until the process blocks or handles the signal, for one second at
  /// most: until its main function has begun, the signal's default action
  /// applies.
  void wait_until_prepared_for(int number) const;
  /// Sends SIGKILL and reaps the process.
  void kill();
  /// Waits for the exit; returns the status, or 128 plus the signal's number.
  int wait();
  bool running();
  /// Returns the user and system time that the process has used.
  std::chrono::milliseconds cpu_time() const;
  /// Returns the resident memory in bytes.
  std::uint64_t resident_bytes() const;
  /// Returns the highest resident memory since the start, in bytes.
  std::uint64_t peak_resident_bytes() const;

 private:
  pid_t id_ = -1;
};

}  // namespace trestlepost::test

// Allocates loopback addresses for one deployment under test.
#pragma once

#include <string>

namespace trestlepost::test {

/// A range of addresses that no other deployment under test on this machine
/// uses: 127.REGION.(10 * n + kind).number for one n. A bound socket reserves
/// the range, so that the kernel releases it when the process ends. The
/// constructor throws if every range is in use.
class loopback_range {
 public:
  loopback_range();
  ~loopback_range();
  loopback_range(const loopback_range&) = delete;
  loopback_range& operator=(const loopback_range&) = delete;

  /// Returns an address of the range. `kind`, from 1 to 9, separates uses such
  /// as nodes, endpoints and relay.
  std::string ip(int region, int kind, int number) const;

 private:
  /// Binds the marker socket of the range; false if another process has it.
  bool try_reserve(int range);

  int socket_ = -1;
  int range_ = 0;
};

}  // namespace trestlepost::test

// Loopback addresses for one deployment under test.
#pragma once

#include <string>

namespace trestlepost::test {

/// A range of addresses that no other deployment under test uses, in whatever
/// process or build folder: 127.REGION.(10 * n + kind).number for one n. It is
/// held by a bound socket, so that it is free again when the process ends.
class loopback_range {
 public:
  loopback_range();
  ~loopback_range();
  loopback_range(const loopback_range&) = delete;
  loopback_range& operator=(const loopback_range&) = delete;

  /// `kind` is 1 to 9.
  std::string ip(int region, int kind, int number) const;

 private:
  bool hold(int range);

  int socket_ = -1;
  int range_ = 0;
};

}  // namespace trestlepost::test

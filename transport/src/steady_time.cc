// Conversion between the clocks that asio.h declares.
#include "trestlepost/transport/asio.h"

namespace trestlepost::transport {

std::chrono::steady_clock::time_point to_steady_time(monotonic_time at) {
  using steady = std::chrono::steady_clock;
  if (at == monotonic_time::max()) return steady::time_point::max();
  return steady::now() + (at - boot_clock::now());
}

}  // namespace trestlepost::transport

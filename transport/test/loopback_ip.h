// Loopback address for the tests of one process.
#pragma once

#include <unistd.h>

#include <string>

namespace trestlepost::transport {

/// Returns an address in 127.99.0.0/16 that depends on the process id, so that
/// test programs can run in parallel.
inline std::string loopback_ip() {
  constexpr int range = 250;
  const int id = ::getpid();
  return "127.99." + std::to_string(id / range % range) + "." +
         std::to_string(1 + id % range);
}

}  // namespace trestlepost::transport

// An IP number for the tests of one process.
#pragma once

#include <unistd.h>

#include <string>

namespace trestlepost::transport {

/// On loopback; another process that runs meanwhile gets another one.
inline std::string own_ip() {
  constexpr int numbers = 250;
  const int id = ::getpid();
  return "127.99." + std::to_string(id / numbers % numbers) + "." +
         std::to_string(1 + id % numbers);
}

}  // namespace trestlepost::transport

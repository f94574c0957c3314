#include "trestlepost/base/random.h"

#include <openssl/rand.h>

#include <array>
#include <cstdio>
#include <stdexcept>

namespace trestlepost {

std::uint64_t random_source::below(std::uint64_t bound) {
  return bound == 0 ? 0 : next() % bound;
}

double random_source::fraction() {
  constexpr std::uint64_t steps = 1'000'000;
  return static_cast<double>(below(steps)) / static_cast<double>(steps);
}

std::uint64_t system_random::next() {
  std::uint64_t n = 0;
  if (RAND_bytes(reinterpret_cast<unsigned char*>(&n), sizeof n) != 1) {
    throw std::runtime_error("the system's random source failed");
  }
  return n;
}

std::string make_request_id(random_source& random) {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016lx%016lx",
                static_cast<unsigned long>(random.next()),
                static_cast<unsigned long>(random.next()));
  return buf.data();
}

}  // namespace trestlepost

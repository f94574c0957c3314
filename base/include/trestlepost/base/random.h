// Random numbers behind an interface, so that tests can reproduce a run from
// its seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace trestlepost {

/// Source of uniformly distributed 64-bit numbers.
class random_source {
 public:
  virtual ~random_source() = default;
  virtual std::uint64_t next() = 0;

  /// Returns a number to identify something by; never 0, and within the range
  /// of signed numbers.
  std::uint64_t identifier() { return (next() >> 1) | 1; }
  /// Returns a number in [0, bound), or 0 if `bound` is 0. It is reduced modulo
  /// `bound`, so it is uniform only for a bound far below 2^64.
  std::uint64_t below(std::uint64_t bound);
  /// Returns a number in [0, 1), in steps of a millionth.
  double fraction();
};

/// Deterministic source for tests and simulated endpoints.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// Cryptographically secure source of the system.
class system_random final : public random_source {
 public:
  /// Throws `std::runtime_error` if the source fails.
  std::uint64_t next() override;
};

/// Returns 128 random bits in hexadecimal.
std::string make_request_id(random_source& random);

}  // namespace trestlepost

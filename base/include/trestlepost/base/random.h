// Random numbers, as an interface, so that tests can replay a run.
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

  /// Uniform in [0, bound); 0 when `bound` is 0.
  std::uint64_t below(std::uint64_t bound);
};

/// Deterministic source for tests and stand-ins.
class seeded_random final : public random_source {
 public:
  explicit seeded_random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() override { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// The system's cryptographic source.
class system_random final : public random_source {
 public:
  std::uint64_t next() override;
};

/// 128 random bits in hexadecimal.
std::string make_request_id(random_source& random);

}  // namespace trestlepost

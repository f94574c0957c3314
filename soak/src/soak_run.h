// One seed: a small deployment of real nodes under faults, with callers and
// operators that go on meanwhile.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "plan_record.h"

namespace trestlepost::soak {

struct soak_options {
  std::uint64_t seed = 1;
  std::chrono::milliseconds span{20'000};
};

struct soak_result {
  int faults = 0;
  int answered = 0;
  int refused = 0;
  int failed = 0;
  int acknowledged = 0;
  int reads = 0;
  /// From the last heal until everything served again.
  std::chrono::milliseconds recovery{0};
  violations found;
  /// Logs, kept when something was found.
  std::string folder;
};

soak_result run_soak(const soak_options& options);

}  // namespace trestlepost::soak

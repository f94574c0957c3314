// Remembers when endpoints last began to answer requests with a part of a
// prompt.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "trestlepost/base/clock.h"

namespace trestlepost::gateway {

/// Keeps the parts that were seen most recently, some thousands. Called for
/// each request, so parts are known by hashes of their ids.
class part_history {
 public:
  /// `organisation` is empty for the part of any caller's prompts.
  void record(const std::string& service, const std::string& organisation,
              std::uint64_t part, monotonic_time at);
  std::optional<monotonic_time> last(const std::string& service,
                                     const std::string& organisation,
                                     std::uint64_t part) const;

 private:
  using generation = std::unordered_map<std::uint64_t, monotonic_time>;

  generation recent_;
  generation older_;
};

}  // namespace trestlepost::gateway

// Keyed fingerprints of the parts of prompts, by which gateways tell each other
// which part crashes endpoints without revealing it.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/routing/run_trait.h"

namespace trestlepost::gateway {

/// Computes fingerprints and keeps those of recent parts.
class part_fingerprints {
 public:
  /// Returns the traits of a request that come from the parts of its prompt.
  /// The last part belongs to the request or its session alone. A part is one
  /// trait within the caller's organisation, if it has one, and another for all
  /// callers of the service.
  std::vector<routing::run_trait> of(const routed_request& request,
                                     const std::string& secret);

 private:
  const std::string& fingerprint(const std::string& service,
                                 const std::string& organisation,
                                 std::uint64_t part, const std::string& secret);

  std::unordered_map<std::string, std::string> known_;
};

}  // namespace trestlepost::gateway

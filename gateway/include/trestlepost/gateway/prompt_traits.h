// The traits that requests have in common through the parts of their prompts.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/gateway/part_history.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/routing/run_trait.h"

namespace trestlepost::gateway {

/// A trait from a part of a prompt, and when an endpoint last began to answer a
/// request with it.
struct prompt_trait {
  routing::run_trait trait;
  std::optional<monotonic_time> last_begin;
};

/// Describes the parts of prompts by keyed fingerprints, by which gateways tell
/// each other of a part without revealing it.
class prompt_traits {
 public:
  /// `secret` is the key of the fingerprints, which all nodes share.
  explicit prompt_traits(const std::string& secret) : secret_(secret) {}

  /// Returns the traits of a request that come from the parts of its prompt.
  /// The last part belongs to the request or its session alone. A part is one
  /// trait within the caller's organisation, if it has one, and another for all
  /// callers of the service.
  std::vector<prompt_trait> of(const routed_request& request);
  /// Records that an endpoint has begun to answer the request.
  void record_begin(const routed_request& request, monotonic_time at);

 private:
  const std::string& fingerprint(const std::string& service,
                                 const std::string& organisation,
                                 std::uint64_t part);

  const std::string& secret_;
  part_history history_;
  std::unordered_map<std::string, std::string> fingerprints_;
};

}  // namespace trestlepost::gateway

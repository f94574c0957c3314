// Chooses the model endpoint of a region that serves a request, by weighing its
// expected value there against prefilling cached prompt sections again.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "trestlepost/routing/completion_estimate.h"

namespace trestlepost::routing {

/// Cost of prefilling a whole prompt again, as a share of the request's value.
/// Users price it at about 0.4 of the value of a long request, and it delays
/// the requests that wait at the engine.
inline constexpr double duplicate_prefill_cost = 0.45;

/// An endpoint that a request could be sent to.
struct engine_candidate {
  completion_estimate expected;
  /// Shared tokens that it would prefill although another endpoint has them
  /// cached, as a share of the prompt.
  double duplicate_prefill = 0;
  /// Tokens copied from another endpoint's cache, as a share of the prompt.
  double copied_share = 0;
  /// Probability that the endpoint accepts the request.
  double acceptance_probability = 1;
};

/// Returns the index of the best candidate, or nothing if `all` is empty.
std::optional<std::size_t> choose_engine(
    const std::vector<engine_candidate>& all,
    const latency_requirements& wanted);

}  // namespace trestlepost::routing

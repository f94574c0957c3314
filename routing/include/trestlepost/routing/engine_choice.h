// Which model endpoint of a region serves a request: weighs what the request
// can be expected to earn against prompt parts that would be read again.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "trestlepost/routing/outlook.h"

namespace trestlepost::routing {

/// Reading a whole prompt again costs so much of a request's value: the users
/// price it at about 0.4 of a long request's value, and it takes the engine's
/// time from those that wait.
inline constexpr double read_again_cost = 0.45;

/// One endpoint, as it is compared with the others.
struct engine_candidate {
  outlook expected;
  /// Tokens of shared prompt parts that it would read, though another
  /// endpoint has read them, as a share of the whole prompt.
  double read_again = 0;
  /// Tokens that are copied from another endpoint's cache, likewise.
  double copied = 0;
  /// That it takes the request.
  double chance = 1;
};

/// The best of `all`, or nothing when there are none.
std::optional<std::size_t> choose_engine(
    const std::vector<engine_candidate>& all, const expectation& wanted);

}  // namespace trestlepost::routing

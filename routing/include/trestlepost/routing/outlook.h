// What a request may expect of a place that could serve it, and what that is
// worth: the basis on which endpoints and regions are compared.
#pragma once

#include <chrono>

namespace trestlepost::routing {

/// Expected course of a request at one place.
struct outlook {
  /// Until the work that is there already lets it begin.
  std::chrono::milliseconds wait{0};
  /// Until its first token, its own prompt read.
  std::chrono::milliseconds first_token{0};
  /// Until it is whole.
  std::chrono::milliseconds finish{0};
  /// By how much its prompt puts off the answers that are written there, all
  /// added up: an engine reads prompts between their tokens.
  std::chrono::milliseconds slows_others{0};
};

/// The same course, begun later by `wait`.
outlook delayed(outlook at, std::chrono::milliseconds wait);

/// How long a request waits for one of `slots` when `load` requests run or
/// wait before it and each holds a slot for `hold`.
std::chrono::milliseconds slot_wait(double load, unsigned slots,
                                    std::chrono::milliseconds hold);

/// What the caller and the route ask for.
struct expectation {
  std::chrono::milliseconds latency_objective{0};
  /// Time left until nobody waits any more.
  std::chrono::milliseconds remaining{0};
};

/// What a request that is worth `value` where it is taken is worth where it is
/// taken by `chance` only; no better than `value` when that is below 0.
double chance_value(double value, double chance);

/// The share of a request's full value that it can be expected to earn, from
/// 0 to 1: the chance to be on time, and the chance to be whole in time.
double expected_value(const outlook& at, const expectation& wanted);

/// `expected_value` less what the time until the answer is whole costs, by
/// breaks and deadlines, and less that cost for the answers that it puts off.
/// Long answers so go where they are written fast, and prompts where few
/// answers are written.
double net_value(const outlook& at, const expectation& wanted);

/// The share of requests that leave a region where they are worth `home` for
/// one where they are worth `away`. It grows with the gain instead of jumping:
/// all gateways of a region act on the same news of the other one, which are
/// some 300 ms old.
double spill_share(double home, double away);

}  // namespace trestlepost::routing

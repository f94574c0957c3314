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

/// The share of a request's full value that it can be expected to earn, from
/// 0 to 1: the chance to be on time, and the chance to be whole in time.
double expected_value(const outlook& at, const expectation& wanted);

}  // namespace trestlepost::routing

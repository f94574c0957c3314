// Estimates how a request proceeds at an endpoint or in a region, and the value
// of that outcome. Endpoints and regions are compared by this value.
#pragma once

#include <chrono>

namespace trestlepost::routing {

/// Expected course of a request at an endpoint or in a region.
struct completion_estimate {
  /// Time until the work already there lets the request start.
  std::chrono::milliseconds wait{0};
  /// Time until its first token, including the prefill of its own prompt.
  std::chrono::milliseconds first_token{0};
  /// Time until the response is complete.
  std::chrono::milliseconds finish{0};
  /// Total delay that its prefill causes for responses being decoded there: an
  /// engine runs prefills between decode steps.
  std::chrono::milliseconds delay_to_others{0};
};

/// Returns the estimate `at` for a request that starts later by `wait`.
completion_estimate delayed(completion_estimate at,
                            std::chrono::milliseconds wait);

/// Returns the time until a slot is free, if `load` requests run or wait before
/// this one on `slots` slots and each occupies a slot for `slot_time`.
std::chrono::milliseconds slot_wait(double load, unsigned slots,
                                    std::chrono::milliseconds slot_time);

/// Latency that the caller and the route require.
struct latency_requirements {
  std::chrono::milliseconds latency_objective{0};
  /// Time until the caller's deadline.
  std::chrono::milliseconds remaining{0};
};

/// Returns the value of a request that is worth `value` if accepted, given the
/// probability `acceptance_probability` that it is accepted. Negative values
/// are returned unchanged, so that a low probability does not improve
/// them.
double discounted_value(double value, double acceptance_probability);

/// Returns the expected share of a request's full value, from 0 to 1. It
/// combines the probability that the first token meets the latency objective
/// with the probability that the response completes before the deadline.
double expected_value(const completion_estimate& at,
                      const latency_requirements& wanted);

/// Returns `expected_value` minus two costs: the time until the response is
/// complete, during which streams are interrupted or miss their deadline, and
/// the delay caused to other responses. Long responses are thereby sent to
/// endpoints that decode fast, and long prompts to endpoints that decode few
/// responses.
double net_value(const completion_estimate& at,
                 const latency_requirements& wanted);

/// Returns the share of requests to send away from a region where they are
/// worth `home` to one where they are worth `away`. The share grows with the
/// gain instead of switching at a threshold, because all gateways of a region
/// act on the same data about the other region, which is about 300 ms old.
double spill_share(double home, double away);

}  // namespace trestlepost::routing

// Estimates the probability that an endpoint or a region accepts a request,
// from the recent share of requests that it rejected without running them.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Keeps traffic away from endpoints that reject every request immediately.
/// Such endpoints look idle, so a choice by load alone would prefer them.
/// Outcomes decay within seconds and places without recent outcomes are
/// trusted, so a recovered endpoint gets requests again without a probe.
class acceptance_estimator {
 public:
  /// Records that `place` accepted a request, or rejected it without running
  /// it.
  void record_accepted(const std::string& place, monotonic_time now);
  void record_rejected(const std::string& place, monotonic_time now);

  /// Returns the probability that `place` accepts the next request, in (0, 1].
  double acceptance_probability(const std::string& place,
                                monotonic_time now) const;

  /// Removes all places for which `known` returns false.
  void retain(const std::function<bool(const std::string&)>& known);

 private:
  /// Exponentially decayed counts as of `at`.
  struct outcomes {
    double accepted = 0;
    double rejected = 0;
    monotonic_time at{};
  };

  static outcomes decayed(const outcomes& from, monotonic_time now);
  outcomes& outcomes_at(const std::string& place, monotonic_time now);

  std::map<std::string, outcomes> places_;
};

}  // namespace trestlepost::routing

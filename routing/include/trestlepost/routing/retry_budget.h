// Limits retries to a share of the requests, so that an outage does not
// multiply load.
#pragma once

#include <algorithm>
#include <cstddef>

#include "trestlepost/base/clock.h"
#include "trestlepost/routing/recent_count.h"

namespace trestlepost::routing {

/// Retry limits for all gateways of a deployment together.
struct shared_retry_limits {
  double ratio = 0.2;  // retries per request
  double slack = 70;   // retries in addition
};

struct retry_budget_options {
  /// Retries allowed per request.
  double ratio = 0.1;
  /// Maximum number of unused retries that are saved.
  double max_saved = 10;
};

/// Returns the limits of a gateway that knows `gateways`, including itself, and
/// received `recent_requests` from its callers within the last ten seconds.
/// Only the gateway that receives a request from its caller earns budget for
/// it, so most of the ratio can be used regardless of how many other gateways
/// are known. The rest allows for requests that are read slightly later than
/// they were sent.
///
/// A gateway saves its part of one third of the slack, because each of three
/// partitioned regions may count only its own gateways. Beyond a few retries it
/// saves no more than the unused rest of the ratio, since it may not know that
/// there are others.
inline retry_budget_options gateway_share(const shared_retry_limits& limits,
                                          std::size_t gateways,
                                          std::size_t recent_requests) {
  constexpr double earned_of_ratio = 0.9;
  constexpr double saved_of_ratio = 1 - earned_of_ratio;
  constexpr double saved_of_slack = 1.0 / 3;
  constexpr double always_saved = 4;
  const double part = limits.slack * saved_of_slack /
                      static_cast<double>(std::max<std::size_t>(1, gateways));
  const double unearned =
      limits.ratio * saved_of_ratio * static_cast<double>(recent_requests);
  retry_budget_options out;
  out.ratio = limits.ratio * earned_of_ratio;
  // Below 1 a gateway could never retry.
  out.max_saved =
      std::max(1.0, std::min(part, std::max(always_saved, unearned)));
  return out;
}

/// Retry budget of one gateway. Starts empty, so that a process that restarts
/// repeatedly, or does not know the other gateways yet, can use only what its
/// requests have earned.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {})
      : options_(options) {}

  /// Sets new limits. Saved retries above the new maximum are dropped.
  void set_options(retry_budget_options options) {
    options_ = options;
    saved_ = std::min(saved_, options_.max_saved);
  }

  void add_request() { save(options_.ratio); }

  /// Takes one retry from the budget; returns false if none is left.
  bool try_take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

  /// Returns the number of unused retries.
  double saved() const { return saved_; }

  /// Returns a retry that was taken but not used.
  void refund() { save(1); }

 private:
  void save(double n) { saved_ = std::min(options_.max_saved, saved_ + n); }

  retry_budget_options options_;
  double saved_ = 0;
};

/// Retry budget of one gateway within limits that all gateways share.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(const shared_retry_limits& limits)
      : limits_(limits), budget_(gateway_share(limits, 1, 0)) {}

  /// Sets the limits, and the number of known gateways that share them.
  void set_limits(const shared_retry_limits& limits, std::size_t gateways) {
    limits_ = limits;
    gateways_ = gateways;
  }

  /// Records a request of a caller.
  void add_request(monotonic_time now) {
    recent_.add(now);
    update(now);
    budget_.add_request();
  }

  /// Returns the budget as of `now`.
  retry_budget& at(monotonic_time now) {
    update(now);
    return budget_;
  }

  double saved() const { return budget_.saved(); }

 private:
  void update(monotonic_time now) {
    budget_.set_options(gateway_share(limits_, gateways_, recent_.count(now)));
  }

  shared_retry_limits limits_;
  std::size_t gateways_ = 1;  // known ones
  recent_count recent_;
  retry_budget budget_;
};

}  // namespace trestlepost::routing

// Limits retries to a share of the requests, so that an outage does not
// multiply load.
#pragma once

#include <algorithm>
#include <cstddef>

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

/// Returns the limits of one of `gateways` gateways, which do not coordinate.
/// Only the gateway that receives a request from its caller earns budget for
/// it, so most of the ratio can be used regardless of how many other gateways
/// are known. The rest allows for requests that are read slightly later than
/// they were sent. One third of the slack is used, because each of three
/// partitioned regions may count only its own gateways.
inline retry_budget_options gateway_share(const shared_retry_limits& limits,
                                          std::size_t gateways) {
  constexpr double used_of_ratio = 0.9;
  constexpr double used_of_slack = 1.0 / 3;
  const double part = limits.slack * used_of_slack /
                      static_cast<double>(std::max<std::size_t>(1, gateways));
  retry_budget_options out;
  out.ratio = limits.ratio * used_of_ratio;
  // Below 1 a gateway could never retry.
  out.max_saved = std::max(1.0, part);
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

}  // namespace trestlepost::routing

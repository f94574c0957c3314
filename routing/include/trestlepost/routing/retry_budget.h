// Retries are paid for by requests: a total outage must not multiply load.
#pragma once

#include <algorithm>
#include <chrono>

namespace trestlepost::routing {

/// What all gateways of a deployment may use together.
struct shared_retry_limits {
  double ratio = 0.2;  // of the requests
  double slack = 70;   // besides
  /// The span over which they are counted.
  std::chrono::milliseconds window{10'000};
};

struct retry_budget_options {
  /// Retries allowed for each request.
  double share = 0.1;
  /// Retries that may be saved up.
  double most_saved = 10;
};

class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {})
      : options_(options) {}

  void request_seen() {
    saved_ = std::min(options_.most_saved, saved_ + options_.share);
  }

  /// Takes one retry out of the budget; false when none is left.
  bool take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  retry_budget_options options_;
  double saved_ = 0;
};

}  // namespace trestlepost::routing

// Retries are paid for by requests: a total outage must not multiply load.
#pragma once

#include <algorithm>

namespace trestlepost::routing {

struct retry_budget_options {
  /// Retries allowed for each request.
  double share = 0.1;
  /// Retries that may be saved up, and those that a new process starts with.
  double most_saved = 10;
  double saved_at_start = 0;
};

class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {})
      : options_(options), saved_(options.saved_at_start) {}

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

// Retries are paid for by requests: a total outage must not multiply load.
#pragma once

#include <algorithm>

namespace trestlepost::routing {

class retry_budget {
 public:
  /// Retries allowed for each request.
  static constexpr double share = 0.1;
  /// Retries that may be saved up.
  static constexpr double most_saved = 10;

  void request_seen() { saved_ = std::min(most_saved, saved_ + share); }

  /// Takes one retry out of the budget; false when none is left.
  bool take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

 private:
  double saved_ = 0;
};

}  // namespace trestlepost::routing

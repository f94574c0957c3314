// Retries are paid for by requests: a total outage must not multiply load.
#pragma once

#include <algorithm>
#include <cstddef>

namespace trestlepost::routing {

/// What all gateways of a deployment may use together.
struct shared_retry_limits {
  double ratio = 0.2;  // of the requests
  double slack = 70;   // besides
};

struct retry_budget_options {
  /// Retries allowed for each request.
  double share = 0.1;
  /// Retries that may be saved up, and those that a new process starts with.
  double most_saved = 10;
  double saved_at_start = 0;
};

/// The part of one of `gateways` gateways, which do not ask each other. Half of
/// the limits is left for those that this gateway does not know of.
inline retry_budget_options share_of(const shared_retry_limits& limits,
                                     std::size_t gateways) {
  constexpr double used = 0.5;
  retry_budget_options out;
  out.share = limits.ratio * used;
  out.most_saved = limits.slack * used /
                   static_cast<double>(std::max<std::size_t>(1, gateways));
  out.saved_at_start = out.most_saved;
  return out;
}

class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {})
      : options_(options), saved_(options.saved_at_start) {}

  /// Limits for what follows; what is saved above them is lost.
  void set_options(retry_budget_options options) {
    options_ = options;
    saved_ = std::min(saved_, options_.most_saved);
  }

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

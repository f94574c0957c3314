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
  /// Retries that may be saved up.
  double most_saved = 10;
};

/// The part of one of `gateways` gateways, which do not ask each other. A
/// request earns at the gateway of its caller only, so most of the ratio can be
/// used whatever a gateway knows of the others; the rest covers requests that
/// are read a little later than they were sent. Of what is saved up a third is
/// used: three regions that are cut from each other may each forget the rest.
inline retry_budget_options share_of(const shared_retry_limits& limits,
                                     std::size_t gateways) {
  constexpr double used_of_ratio = 0.9;
  constexpr double used_of_slack = 1.0 / 3;
  const double part = limits.slack * used_of_slack /
                      static_cast<double>(std::max<std::size_t>(1, gateways));
  retry_budget_options out;
  out.share = limits.ratio * used_of_ratio;
  // With less than one saved a gateway could never retry.
  out.most_saved = std::max(1.0, part);
  return out;
}

/// Starts with nothing saved: a process that starts again and again, or that
/// knows no other gateway yet, has no more than its requests have paid for.
class retry_budget {
 public:
  explicit retry_budget(retry_budget_options options = {})
      : options_(options) {}

  /// Limits for what follows; what is saved above them is lost.
  void set_options(retry_budget_options options) {
    options_ = options;
    saved_ = std::min(saved_, options_.most_saved);
  }

  void request_seen() { save(options_.share); }

  /// Takes one retry out of the budget; false when none is left.
  bool take() {
    if (saved_ < 1) return false;
    saved_ -= 1;
    return true;
  }

  /// Puts back one that was taken and not used.
  void give_back() { save(1); }

 private:
  void save(double n) { saved_ = std::min(options_.most_saved, saved_ + n); }

  retry_budget_options options_;
  double saved_ = 0;
};

}  // namespace trestlepost::routing

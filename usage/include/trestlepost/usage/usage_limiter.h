// Decides at a gateway whether a request fits into the usage limit of its
// organisation, which all gateways share.
#pragma once

#include <chrono>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/organisation.h"

namespace trestlepost::usage {

struct usage_decision {
  bool admitted = true;
  /// If refused: when a request of this size may fit.
  std::chrono::milliseconds retry_after{0};
};

class usage_limiter {
 public:
  virtual ~usage_limiter() = default;

  /// Counts that the organisation asks for an amount, in the unit of its limit.
  virtual void record_request(const config::organisation& organisation,
                              double amount, monotonic_time now) = 0;
  /// Whether requests should wait with their decision, since this gateway has
  /// just started and does not know yet what others are asked for.
  virtual bool is_learning(monotonic_time now) const = 0;
  /// Decides a request that was recorded, and counts what it uses.
  virtual usage_decision admit(const config::organisation& organisation,
                               double amount, monotonic_time now) = 0;
  /// Returns the amount of an admitted request that did not run.
  virtual void give_back(const std::string& organisation, double amount) = 0;
};

/// An allowance that refills at a steady rate.
class usage_bucket {
 public:
  /// Refills up to `burst`; the first call starts with nothing.
  void refill(double amount_per_second, double burst, monotonic_time now);
  /// Takes the amount if it is there.
  bool take(double amount);
  void clear() { level_ = 0; }
  double level() const { return level_; }

 private:
  double level_ = 0;
  std::optional<monotonic_time> refilled_at_;
};

/// Returns a time to wait for an amount: the time in which it becomes available
/// at `amount_per_second`, given the level, and spread by `spread` (0 to 1) so
/// that refused callers don't return together.
std::chrono::milliseconds time_until_available(double amount, double level,
                                               double amount_per_second,
                                               double spread);

}  // namespace trestlepost::usage

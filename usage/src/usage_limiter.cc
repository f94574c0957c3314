#include "trestlepost/usage/usage_limiter.h"

#include <algorithm>

namespace trestlepost::usage {
namespace {

using std::chrono::milliseconds;

using seconds = std::chrono::duration<double>;

constexpr seconds min_wait{0.1};
constexpr seconds max_wait{30};

}  // namespace

void usage_bucket::refill(double amount_per_second, double burst,
                          monotonic_time now) {
  const seconds passed = refilled_at_ ? now - *refilled_at_ : seconds(0);
  refilled_at_ = now;
  level_ = std::min(burst, level_ + amount_per_second * passed.count());
}

bool usage_bucket::take(double amount) {
  if (amount > level_) return false;
  level_ -= amount;
  return true;
}

milliseconds time_until_available(double amount, double level,
                                  double amount_per_second, double spread) {
  const double missing = std::max(amount - level, 0.0);
  const double rate = std::max(amount_per_second, 1e-3);
  // Between one and two times the wait.
  const seconds wait((1 + spread) * missing / rate);
  return std::chrono::duration_cast<milliseconds>(
      std::clamp(wait, min_wait, max_wait));
}

}  // namespace trestlepost::usage

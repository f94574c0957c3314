#include "other_limiters.h"

#include <algorithm>

namespace trestlepost::usage::test {

using seconds = std::chrono::duration<double>;

usage_decision equal_parts_limiter::admit(
    const config::organisation& organisation, double amount,
    monotonic_time now) {
  const config::usage_limit& limit = *organisation.limit;
  const double part = 1.0 / static_cast<double>(gateways_);
  usage_bucket& bucket = buckets_[organisation.name];
  bucket.refill(limit.amount_per_second * part, limit.burst * part, now);
  return {bucket.take(amount), std::chrono::milliseconds(100)};
}

usage_decision demand_parts_limiter::admit_near_limit(
    organisation_state& state, const config::usage_limit& limit, double amount,
    monotonic_time now) {
  constexpr seconds demand_time{1.0};
  own_demand& own = own_[&state];
  const seconds passed = now - own.updated_at;
  const double asked = std::max(state.counted.asked - own.asked_before, 0.0);
  const double gain = passed / (passed + demand_time);
  own.demand += (asked / std::max(passed.count(), 0.001) - own.demand) * gain;
  own.asked_before = state.counted.asked;
  own.updated_at = now;
  const double share =
      std::min(1.0, own.demand / std::max(state.near->demand, 1.0));
  own.bucket.refill(limit.amount_per_second * part_ * share,
                    std::max(limit.burst * part_ * share, amount), now);
  return {own.bucket.take(amount), std::chrono::milliseconds(100)};
}

}  // namespace trestlepost::usage::test

#include "other_limiters.h"

#include <algorithm>
#include <cmath>

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
  // A sum that decays exponentially: divided by its time constant it is an
  // unbiased rate, however long the gaps between requests are.
  own.asked *= std::exp(-passed / demand_time);
  own.asked += std::max(state.counted.asked - own.asked_before, 0.0);
  own.asked_before = state.counted.asked;
  own.updated_at = now;
  const double demand = own.asked / demand_time.count();
  const double share =
      std::min(1.0, demand / std::max(state.near->demand, 1.0));
  own.bucket.refill(limit.amount_per_second * part_ * share,
                    std::max(limit.burst * part_ * share, amount), now);
  return {own.bucket.take(amount), std::chrono::milliseconds(100)};
}

}  // namespace trestlepost::usage::test

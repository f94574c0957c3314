// Rate limit for requests to cold endpoints.
#include "trestlepost/routing/cold_limiter.h"

namespace trestlepost::routing {

bool cold_limiter::may_send(const std::string& endpoint, double per_second,
                            monotonic_time now) const {
  if (per_second <= 0) return true;
  const auto it = last_sent_.find(endpoint);
  if (it == last_sent_.end()) return true;
  const double own_rate =
      per_second * options_.used_share / senders_per_endpoint;
  const std::chrono::duration<double> passed = now - it->second;
  return passed.count() * own_rate >= 1;
}

void cold_limiter::record_sent(const std::string& endpoint,
                               monotonic_time now) {
  last_sent_[endpoint] = now;
}

void cold_limiter::remove_before(monotonic_time before) {
  std::erase_if(last_sent_,
                [before](const auto& it) { return it.second < before; });
}

}  // namespace trestlepost::routing

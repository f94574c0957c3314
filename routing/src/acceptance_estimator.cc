// Acceptance probability from exponentially decayed counts of outcomes.
#include "trestlepost/routing/acceptance_estimator.h"

#include <chrono>
#include <cmath>

namespace trestlepost::routing {
namespace {

// Time after which an outcome counts for 1/e. Some outages last no longer than
// this, and a gateway of a large deployment sends less than one request per
// second to each endpoint.
constexpr std::chrono::duration<double> decay_time{3.0};
// Initial weight: a place without outcomes counts as having accepted one
// request.
constexpr double prior_accepted = 1;

}  // namespace

acceptance_estimator::outcomes acceptance_estimator::decayed(
    const outcomes& from, monotonic_time now) {
  const std::chrono::duration<double> age = now - from.at;
  const double left = std::exp(-std::max(0.0, age / decay_time));
  return {from.accepted * left, from.rejected * left, now};
}

acceptance_estimator::outcomes& acceptance_estimator::outcomes_at(
    const std::string& place, monotonic_time now) {
  outcomes& out = places_[place];
  out = decayed(out, now);
  return out;
}

void acceptance_estimator::record_accepted(const std::string& place,
                                           monotonic_time now) {
  // Most endpoints accept every request; only those with a rejection are
  // stored.
  if (!places_.contains(place)) return;
  outcomes_at(place, now).accepted += 1;
}

void acceptance_estimator::record_rejected(const std::string& place,
                                           monotonic_time now) {
  outcomes_at(place, now).rejected += 1;
}

double acceptance_estimator::acceptance_probability(const std::string& place,
                                                    monotonic_time now) const {
  const auto found = places_.find(place);
  if (found == places_.end()) return 1;
  const outcomes it = decayed(found->second, now);
  return (prior_accepted + it.accepted) /
         (prior_accepted + it.accepted + it.rejected);
}

void acceptance_estimator::retain(
    const std::function<bool(const std::string&)>& known) {
  std::erase_if(places_, [&known](const auto& it) { return !known(it.first); });
}

}  // namespace trestlepost::routing

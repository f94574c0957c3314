// Acceptance probability from exponentially decayed counts of outcomes.
#include "trestlepost/routing/acceptance.h"

#include <chrono>
#include <cmath>

namespace trestlepost::routing {
namespace {

// Time after which an outcome counts for 1/e. Some outages last no longer than
// this, and a gateway of a large deployment sends less than one request per
// second to each endpoint.
constexpr std::chrono::duration<double> memory{3.0};
// Initial weight: a place without outcomes counts as having accepted one
// request.
constexpr double trust = 1;

}  // namespace

acceptance::outcomes acceptance::faded(const outcomes& from,
                                       monotonic_time now) {
  const std::chrono::duration<double> age = now - from.at;
  const double left = std::exp(-std::max(0.0, age / memory));
  return {from.taken * left, from.rejected * left, now};
}

acceptance::outcomes& acceptance::at(const std::string& place,
                                     monotonic_time now) {
  outcomes& out = places_[place];
  out = faded(out, now);
  return out;
}

void acceptance::taken(const std::string& place, monotonic_time now) {
  // Most endpoints accept every request; only those with a rejection are
  // stored.
  if (!places_.contains(place)) return;
  at(place, now).taken += 1;
}

void acceptance::rejected(const std::string& place, monotonic_time now) {
  at(place, now).rejected += 1;
}

double acceptance::chance(const std::string& place, monotonic_time now) const {
  const auto found = places_.find(place);
  if (found == places_.end()) return 1;
  const outcomes it = faded(found->second, now);
  return (trust + it.taken) / (trust + it.taken + it.rejected);
}

void acceptance::keep(const std::function<bool(const std::string&)>& known) {
  std::erase_if(places_, [&known](const auto& it) { return !known(it.first); });
}

}  // namespace trestlepost::routing

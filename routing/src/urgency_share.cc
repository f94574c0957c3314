#include "trestlepost/routing/urgency_share.h"

#include <chrono>

namespace trestlepost::routing {
namespace {

constexpr std::chrono::seconds refusal_memory{2};
// Share of the less urgent requests that are admitted all the same, so that
// none are starved.
constexpr double less_urgent_share = 0.25;

}  // namespace

void urgency_share::record_refused(int priority, monotonic_time now) {
  refused_at_[priority] = now;
}

bool urgency_share::admits(int priority, random_source& random,
                           monotonic_time now) const {
  for (const auto& [other, at] : refused_at_) {
    if (other >= priority) break;
    if (now < at + refusal_memory) return random.fraction() < less_urgent_share;
  }
  return true;
}

}  // namespace trestlepost::routing

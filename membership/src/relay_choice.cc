#include "trestlepost/membership/relay_choice.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::membership {
namespace {

// Time after which an unresponsive candidate is tried again.
constexpr std::chrono::milliseconds retry_after{5000};
// Number of nodes whose heartbeats a relay can process at the configured
// interval.
constexpr std::size_t nodes_at_base_interval = 40;
// Heartbeats that fit into the time after which a silent node is suspected.
constexpr int beats_until_suspect = 5;

}  // namespace

bool relay_choice::is_mute(const std::string& name,
                           std::chrono::milliseconds mute_after,
                           monotonic_time now) const {
  const auto it = asked_since_.find(name);
  return it != asked_since_.end() && now >= it->second + mute_after &&
         now < it->second + retry_after;
}

std::vector<std::string> rank_relays(const std::string& region,
                                     std::vector<relay_candidate> candidates) {
  // Preferred kind for each relay position.
  constexpr std::array<bool, relays_per_region> control_first{true, false};
  std::vector<std::string> out;
  for (const bool control : control_first) {
    const auto key = [&](const relay_candidate& it) {
      return std::make_tuple(!it.leaving, it.control == control,
                             rendezvous_score(region, it.name));
    };
    const auto best = std::max_element(
        candidates.begin(), candidates.end(),
        [&key](const relay_candidate& a, const relay_candidate& b) {
          return key(a) < key(b);
        });
    if (best == candidates.end()) break;
    out.push_back(best->name);
    candidates.erase(best);
  }
  return out;
}

std::vector<std::string> relay_choice::choose(
    const std::string& region, std::vector<relay_candidate> candidates,
    std::chrono::milliseconds mute_after, monotonic_time now) const {
  for (relay_candidate& it : candidates) {
    it.leaving = it.leaving || is_mute(it.name, mute_after, now);
  }
  return rank_relays(region, std::move(candidates));
}

void relay_choice::asked(const std::string& name, monotonic_time now) {
  const auto it = asked_since_.emplace(name, now).first;
  if (now >= it->second + retry_after) it->second = now;
}

void relay_choice::answered(const std::string& name) {
  asked_since_.erase(name);
}

std::chrono::milliseconds beat_interval(std::chrono::milliseconds base,
                                        std::size_t nodes,
                                        const suspicion_options& suspicion) {
  const std::size_t loads = std::max<std::size_t>(
      1, (nodes + nodes_at_base_interval - 1) / nodes_at_base_interval);
  const std::chrono::milliseconds longest =
      std::max(base, suspicion.suspect_after / beats_until_suspect);
  return std::min(base * static_cast<int>(loads), longest);
}

}  // namespace trestlepost::membership

#include "trestlepost/membership/relay_selector.h"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::membership {
namespace {

// Time after which an unresponsive candidate is tried again.
constexpr std::chrono::milliseconds unresponsive_retry_after{5000};
// Number of nodes whose heartbeats a relay can process at the configured
// interval.
constexpr std::size_t nodes_per_base_interval = 40;
// Heartbeats that fit into the time after which a silent node is suspected.
constexpr int heartbeats_until_suspect = 5;

}  // namespace

bool relay_selector::is_unresponsive(
    const std::string& name, std::chrono::milliseconds unresponsive_after,
    monotonic_time now) const {
  const auto it = unanswered_since_.find(name);
  return it != unanswered_since_.end() &&
         now >= it->second + unresponsive_after &&
         now < it->second + unresponsive_retry_after;
}

std::vector<std::string> rank_relays(const std::string& region,
                                     std::vector<relay_candidate> candidates) {
  // Preferred kind for each relay position.
  constexpr std::array<bool, relays_per_region> prefer_control{true, false};
  std::vector<std::string> out;
  for (const bool control : prefer_control) {
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

std::vector<std::string> relay_selector::choose(
    const std::string& region, std::vector<relay_candidate> candidates,
    std::chrono::milliseconds unresponsive_after, monotonic_time now) const {
  const auto heard_of = static_cast<std::size_t>(
      std::count_if(candidates.begin(), candidates.end(),
                    [](const relay_candidate& it) { return !it.silent; }));
  if (heard_of >= relays_per_region) {
    std::erase_if(candidates,
                  [](const relay_candidate& it) { return it.silent; });
  }
  for (relay_candidate& it : candidates) {
    it.leaving =
        it.leaving || is_unresponsive(it.name, unresponsive_after, now);
  }
  return rank_relays(region, std::move(candidates));
}

std::vector<std::string> relay_selector::missing_relays(
    const std::string& region, std::vector<relay_candidate> candidates,
    std::chrono::milliseconds unresponsive_after, monotonic_time now) const {
  std::erase_if(candidates, [&](const relay_candidate& it) {
    return is_unresponsive(it.name, unresponsive_after, now);
  });
  std::set<std::string> silent;
  for (const relay_candidate& it : candidates) {
    if (it.silent) silent.insert(it.name);
  }
  std::vector<std::string> out = rank_relays(region, std::move(candidates));
  std::erase_if(
      out, [&silent](const std::string& it) { return !silent.contains(it); });
  return out;
}

void relay_selector::heartbeat_sent(const std::string& name,
                                    monotonic_time now) {
  const auto it = unanswered_since_.emplace(name, now).first;
  if (now >= it->second + unresponsive_retry_after) it->second = now;
}

void relay_selector::digest_received(const std::string& name) {
  unanswered_since_.erase(name);
}

std::chrono::milliseconds scaled_heartbeat_interval(
    std::chrono::milliseconds base, std::size_t nodes,
    const suspicion_options& suspicion) {
  const std::size_t groups = std::max<std::size_t>(
      1, (nodes + nodes_per_base_interval - 1) / nodes_per_base_interval);
  const std::chrono::milliseconds max_interval =
      std::max(base, suspicion.suspect_after / heartbeats_until_suspect);
  return std::min(base * static_cast<int>(groups), max_interval);
}

}  // namespace trestlepost::membership

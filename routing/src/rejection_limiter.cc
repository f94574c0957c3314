#include "trestlepost/routing/rejection_limiter.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

constexpr std::chrono::seconds limit_window{1};
// A gateway that gets no answers of a service forgets its limit.
constexpr std::chrono::seconds limit_lifetime{10};

}  // namespace

void rejection_limiter::record_limit(const std::string& service,
                                     std::optional<unsigned> limit,
                                     monotonic_time now) {
  if (limit) {
    limits_[service] = {*limit, now};
  } else {
    limits_.erase(service);
  }
}

void rejection_limiter::record_sent(const std::string& endpoint) {
  ++sends_[endpoint].open;
}

void rejection_limiter::record_outcome(const std::string& endpoint,
                                       bool rejected, monotonic_time now) {
  sends& it = sends_[endpoint];
  if (it.open > 0) --it.open;
  if (rejected) it.rejected_at.push_back(now);
}

std::optional<unsigned> rejection_limiter::limit_of(const std::string& service,
                                                    monotonic_time now) const {
  const auto it = limits_.find(service);
  if (it == limits_.end() || now >= it->second.at + limit_lifetime)
    return std::nullopt;
  return it->second.per_second;
}

bool rejection_limiter::may_send(const std::string& endpoint, unsigned limit,
                                 std::size_t rank, std::size_t gateways,
                                 monotonic_time now) const {
  const std::size_t senders =
      std::max<std::size_t>(1, std::min<std::size_t>(gateways, limit));
  if (rank >= senders) return false;
  const std::size_t share = std::max<std::size_t>(1, limit / senders);
  const auto it = sends_.find(endpoint);
  if (it == sends_.end()) return true;
  const auto recent = std::count_if(
      it->second.rejected_at.begin(), it->second.rejected_at.end(),
      [now](monotonic_time at) { return now <= at + limit_window; });
  return it->second.open + static_cast<std::size_t>(recent) < share;
}

void rejection_limiter::remove_expired(monotonic_time now) {
  std::erase_if(limits_, [now](const auto& it) {
    return now >= it.second.at + limit_lifetime;
  });
  for (auto& [endpoint, it] : sends_) {
    while (!it.rejected_at.empty() &&
           now > it.rejected_at.front() + limit_window) {
      it.rejected_at.pop_front();
    }
  }
  std::erase_if(sends_, [](const auto& it) {
    return it.second.open == 0 && it.second.rejected_at.empty();
  });
}

}  // namespace trestlepost::routing

#include "trestlepost/routing/request_limiter.h"

#include <algorithm>

namespace trestlepost::routing {
namespace {

using seconds = std::chrono::duration<double>;

// Gateways together save so many requests, and as many as a limit permits in a
// second.
constexpr double min_saved_requests = 2;
// A lower limit is raised to this: without any request the gateways would not
// learn that it has ended.
constexpr double min_requests_per_second = 0.05;
// Senders that hear nothing for this time, or for so many of their intervals,
// are replaced by others.
constexpr seconds min_sender_time{10};
constexpr double sender_intervals = 3;
// Reports of other gateways arrive late. A report ends a limit only if its
// answer is later than the last one that stated the limit by more than this.
constexpr std::chrono::seconds max_report_delay{2};
// How long gateways report a limit that has ended.
constexpr std::chrono::seconds end_retention{30};

double rate_of(double limit) {
  return std::max(limit * used_share_of_request_limit, min_requests_per_second);
}

std::size_t sender_count(double limit, std::size_t gateways) {
  const double savers = std::min(min_saved_requests + limit, 1e6);
  return std::min(gateways, static_cast<std::size_t>(savers));
}

/// Returns whether the gateway sends to an endpoint of which nothing was heard
/// for `silence`.
bool is_sender(const sender_position& position, double limit, seconds silence) {
  const std::size_t senders = sender_count(limit, position.gateways);
  const seconds interval(static_cast<double>(senders) / rate_of(limit));
  const seconds sender_time =
      std::max(min_sender_time, sender_intervals * interval);
  const std::size_t replacements =
      silence > seconds(0) ? static_cast<std::size_t>(silence / sender_time)
                           : 0;
  const std::size_t first = replacements * senders % position.gateways;
  return (position.rank + position.gateways - first) % position.gateways <
         senders;
}

}  // namespace

bool request_limiter::apply(endpoint_state& state, const statement& in,
                            monotonic_time now) {
  const std::optional<double> before = state.last.per_second;
  state.saved = saved(state, now);
  state.saved_at = now;
  state.last = in;
  if (!before || !in.per_second) state.saved = 0;
  return before != in.per_second;
}

bool request_limiter::record_answer(const std::string& endpoint,
                                    std::optional<double> per_second,
                                    monotonic_time now) {
  if (!per_second && !states_.contains(endpoint)) return false;
  endpoint_state& state = states_[endpoint];
  state.own = statement{per_second, now};
  return apply(state, *state.own, now);
}

bool request_limiter::record_report(const std::string& endpoint,
                                    std::optional<double> per_second,
                                    monotonic_time at, monotonic_time now) {
  const auto known = states_.find(endpoint);
  if (known == states_.end()) {
    if (!per_second) return false;
    return apply(states_[endpoint], {per_second, at}, now);
  }
  endpoint_state& state = known->second;
  const bool ends = state.last.per_second && !per_second;
  const monotonic_time after =
      ends ? state.last.at + max_report_delay : state.last.at;
  return at > after && apply(state, {per_second, at}, now);
}

std::optional<double> request_limiter::limit_of(
    const std::string& endpoint) const {
  const auto it = states_.find(endpoint);
  return it == states_.end() ? std::nullopt : it->second.last.per_second;
}

std::vector<std::string> request_limiter::limited_endpoints() const {
  std::vector<std::string> out;
  for (const auto& [endpoint, it] : states_) {
    if (it.last.per_second) out.push_back(endpoint);
  }
  return out;
}

double request_limiter::saved(const endpoint_state& state, monotonic_time now) {
  if (!state.last.per_second) return 0;
  const double limit = *state.last.per_second;
  if (!is_sender(state.position, limit, now - state.last.at)) return 0;
  const auto senders =
      static_cast<double>(sender_count(limit, state.position.gateways));
  const seconds passed = now - state.saved_at;
  const double max_saved = (min_saved_requests + limit) / senders;
  return std::min(max_saved,
                  state.saved + passed.count() * rate_of(limit) / senders);
}

void request_limiter::set_position(const std::string& endpoint,
                                   sender_position position,
                                   monotonic_time now) {
  const auto it = states_.find(endpoint);
  if (it == states_.end()) return;
  it->second.saved = saved(it->second, now);
  it->second.saved_at = now;
  it->second.position = position;
}

bool request_limiter::may_send(const std::string& endpoint,
                               monotonic_time now) const {
  const auto it = states_.find(endpoint);
  if (it == states_.end() || !it->second.last.per_second) return true;
  return saved(it->second, now) >= 1;
}

void request_limiter::record_sent(const std::string& endpoint,
                                  monotonic_time now) {
  const auto it = states_.find(endpoint);
  if (it == states_.end()) return;
  it->second.saved = std::max(0.0, saved(it->second, now) - 1);
  it->second.saved_at = now;
}

membership::limit_statements request_limiter::own_statements(
    monotonic_time now) const {
  membership::limit_statements out;
  for (const auto& [endpoint, it] : states_) {
    if (!it.own) continue;
    out[endpoint] = {it.own->per_second,
                     std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - it.own->at)};
  }
  return out;
}

void request_limiter::retain(
    const std::function<bool(const std::string&)>& known, monotonic_time now) {
  std::erase_if(states_, [&known, now](const auto& it) {
    const statement& last = it.second.last;
    const bool ended = !last.per_second && now >= last.at + end_retention;
    return ended || !known(it.first);
  });
}

}  // namespace trestlepost::routing

#include "trestlepost/routing/engine_book.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Priorities that engines know; above the last one all count as the last.
constexpr int most_priorities = 10;
// Share of an engine's memory that caches may use; the rest holds what runs.
constexpr double cache_share = 0.6;
// Weight of one observation in the learned speed.
constexpr double newest_weight = 0.1;
// Shorter prompts say little of the speed: fixed costs outweigh them.
constexpr std::uint32_t least_observed_tokens = 1000;
constexpr double slowest_tokens_per_ms = 1;
constexpr double fastest_tokens_per_ms = 10'000;

std::size_t slot_of(int priority) {
  return static_cast<std::size_t>(std::clamp(priority, 0, most_priorities - 1));
}

/// Tokens that are read before a new request of this priority.
std::uint32_t tokens_before(const pending_tokens& pending, int priority) {
  std::uint32_t out = 0;
  const std::size_t end = std::min(pending.size(), slot_of(priority) + 1);
  for (std::size_t i = 0; i < end; ++i) out += pending[i];
  return out;
}

}  // namespace

void engine_book::declare(const std::vector<endpoint>& endpoints) {
  std::map<std::string, record> next;
  for (const endpoint& it : endpoints) {
    const auto known = endpoints_.find(it.id);
    record one = known == endpoints_.end() ? record() : std::move(known->second);
    one.kv_capacity = it.kv_capacity;
    next.emplace(it.id, std::move(one));
  }
  endpoints_ = std::move(next);
}

std::uint32_t engine_book::uncached_tokens(const std::string& id,
                                           const engine_work& work) const {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return work.prompt_tokens;
  std::uint32_t cached = 0;
  for (const prompt_section& it : work.sections) {
    // A section counts only when all before it are cached too.
    if (!found->second.cached.contains(it.id)) break;
    cached += it.tokens;
  }
  return work.prompt_tokens - std::min(cached, work.prompt_tokens);
}

milliseconds engine_book::predict(const std::string& id,
                                  const engine_work& work) const {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return milliseconds(0);
  const record& it = found->second;
  const double tokens = tokens_before(it.own, work.priority) +
                        tokens_before(it.others, work.priority) +
                        uncached_tokens(id, work);
  return milliseconds(static_cast<std::int64_t>(tokens / it.tokens_per_ms));
}

engine_book::ticket engine_book::begin(const std::string& id,
                                       const engine_work& work,
                                       monotonic_time now) {
  const ticket out = next_ticket_++;
  begun one{id, uncached_tokens(id, work), 0, work.priority, now};
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    record& it = found->second;
    one.ahead = tokens_before(it.own, work.priority) +
                tokens_before(it.others, work.priority);
    const std::size_t slot = slot_of(work.priority);
    if (it.own.size() <= slot) it.own.resize(slot + 1);
    it.own[slot] += one.tokens;
    note_cached(it, work);
  }
  requests_.emplace(out, std::move(one));
  return out;
}

void engine_book::first_token(ticket request, monotonic_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.waiting) return;
  begun& it = found->second;
  forget_pending(it);
  it.waiting = false;
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end() || it.tokens < least_observed_tokens) return;
  const double passed =
      std::chrono::duration<double, std::milli>(now - it.at).count();
  const double seen = (it.tokens + it.ahead) / std::max(passed, 1.0);
  double& speed = at->second.tokens_per_ms;
  speed = std::clamp(speed * (1 - newest_weight) + seen * newest_weight,
                     slowest_tokens_per_ms, fastest_tokens_per_ms);
}

void engine_book::end(ticket request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  if (found->second.waiting) forget_pending(found->second);
  requests_.erase(found);
}

void engine_book::forget_pending(const begun& it) {
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end()) return;
  const std::size_t slot = slot_of(it.priority);
  pending_tokens& own = at->second.own;
  if (slot < own.size()) own[slot] -= std::min(own[slot], it.tokens);
}

void engine_book::note_cached(record& it, const engine_work& work) {
  for (const prompt_section& section : work.sections) {
    const auto known = it.cached.find(section.id);
    if (known != it.cached.end()) {
      it.recent.splice(it.recent.begin(), it.recent, known->second.position);
      continue;
    }
    it.recent.push_front(section.id);
    it.cached[section.id] = {section.tokens, it.recent.begin()};
    it.cached_tokens += section.tokens;
  }
  evict(it);
}

void engine_book::evict(record& it) {
  const double most = static_cast<double>(it.kv_capacity) * cache_share;
  while (static_cast<double>(it.cached_tokens) > most && !it.recent.empty()) {
    const auto oldest = it.cached.find(it.recent.back());
    it.cached_tokens -= oldest->second.tokens;
    it.cached.erase(oldest);
    it.recent.pop_back();
  }
}

void engine_book::set_others(
    std::map<std::string, pending_tokens> by_endpoint) {
  for (auto& [id, it] : endpoints_) {
    const auto told = by_endpoint.find(id);
    it.others =
        told == by_endpoint.end() ? pending_tokens() : std::move(told->second);
  }
}

std::map<std::string, pending_tokens> engine_book::own_pending() const {
  std::map<std::string, pending_tokens> out;
  for (const auto& [id, it] : endpoints_) {
    const bool any = std::any_of(it.own.begin(), it.own.end(),
                                 [](std::uint32_t n) { return n > 0; });
    if (any) out[id] = it.own;
  }
  return out;
}

double engine_book::tokens_per_ms(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? first_tokens_per_ms
                                : it->second.tokens_per_ms;
}

}  // namespace trestlepost::routing

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
// Weight of one observation in an endpoint's slowness and event interval.
constexpr double newest_weight = 0.05;
// An endpoint's slowness stays between these.
constexpr double fastest = 0.3;
constexpr double slowest = 6;
// How likely the endpoint that all gateways prefer for a section lacks it:
// at its first request, after evictions, and when it was passed over.
constexpr double preferred_lacks_section = 0.1;
// Until answers were observed.
constexpr double first_event_ms = 80;

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

void mix_in(double& mean, double newest) {
  mean = mean * (1 - newest_weight) + newest * newest_weight;
}

double ms_between(monotonic_time from, monotonic_time to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

milliseconds whole_ms(double ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

void engine_book::declare(const std::vector<endpoint>& endpoints) {
  std::map<std::string, record> next;
  for (const endpoint& it : endpoints) {
    const auto known = endpoints_.find(it.id);
    record one =
        known == endpoints_.end() ? record() : std::move(known->second);
    one.declared = it;
    next.emplace(it.id, std::move(one));
    models_.try_emplace(it.service);
  }
  endpoints_ = std::move(next);
}

const engine_book::record* engine_book::find(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const latency_model& engine_book::model_of(const record& it) const {
  return models_.at(it.declared.service);
}

std::uint32_t engine_book::uncached_tokens(const std::string& id,
                                           const engine_work& work) const {
  const record* it = find(id);
  if (it == nullptr) return work.prompt_tokens;
  std::uint32_t cached = 0;
  for (const prompt_section& section : work.sections) {
    // A section counts only when all before it are cached too.
    if (!it->cached.contains(section.id)) break;
    cached += section.tokens;
  }
  return work.prompt_tokens - std::min(cached, work.prompt_tokens);
}

expected_reading engine_book::reading_at(const std::string& id,
                                         const engine_work& work,
                                         cache_belief belief) const {
  const std::uint32_t uncached = uncached_tokens(id, work);
  // The last section is the request's own: nobody has read it yet.
  const std::uint32_t last =
      work.sections.empty() ? uncached : work.sections.back().tokens;
  const std::uint32_t own = std::min(uncached, last);
  const double shared = uncached - own;
  const double lacking =
      belief == cache_belief::own_sends ? 1 : preferred_lacks_section;
  expected_reading out;
  out.shared_tokens = static_cast<std::uint32_t>(shared * lacking);
  if (belief == cache_belief::after_copy) {
    out.copied_tokens =
        static_cast<std::uint32_t>(shared * (1 - preferred_lacks_section));
  }
  out.tokens = own + out.shared_tokens;
  return out;
}

outlook engine_book::predict(const std::string& id, const engine_work& work,
                             cache_belief belief) const {
  const record* it = find(id);
  if (it == nullptr) return {};
  const latency_model& model = model_of(*it);
  const double ahead = tokens_before(it->own, work.priority) +
                       tokens_before(it->others, work.priority);
  const double own = reading_at(id, work, belief).tokens;
  const unsigned per_event = std::max(1U, it->declared.tokens_per_event);
  const double events = static_cast<double>(work.output_tokens) / per_event;
  const double event_ms = it->event_ms > 0 ? it->event_ms : first_event_ms;
  const double first = model.predict_ms(ahead + own) * it->slowness;
  outlook out;
  out.wait = whole_ms(model.ms_per_unit() * ahead * it->slowness);
  out.first_token = whole_ms(first);
  out.finish = whole_ms(first + events * event_ms);
  return out;
}

engine_book::ticket engine_book::begin(const std::string& id,
                                       const engine_work& work,
                                       monotonic_time now,
                                       cache_belief belief) {
  const ticket out = next_ticket_++;
  begun one;
  one.endpoint = id;
  one.tokens = reading_at(id, work, belief).tokens;
  one.priority = work.priority;
  one.at = now;
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

void engine_book::event(ticket request, monotonic_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  begun& it = found->second;
  const auto at = endpoints_.find(it.endpoint);
  record* place = at == endpoints_.end() ? nullptr : &at->second;
  if (it.waiting) {
    first_event(it, place, now);
  } else if (place != nullptr) {
    const double passed = ms_between(it.last_event, now);
    if (place->event_ms <= 0) place->event_ms = passed;
    mix_in(place->event_ms, passed);
  }
  it.last_event = now;
}

void engine_book::first_event(begun& it, record* at, monotonic_time now) {
  forget_pending(it);
  it.waiting = false;
  if (at == nullptr || it.tokens == 0) return;
  latency_model& model = models_.at(at->declared.service);
  const double units = it.tokens + it.ahead;
  const double passed = ms_between(it.at, now);
  const double expected = std::max(1.0, model.predict_ms(units));
  mix_in(at->slowness, std::clamp(passed / expected, fastest, slowest));
  model.observe(units, passed / at->slowness);
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
  const double most =
      static_cast<double>(it.declared.kv_capacity) * cache_share;
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

milliseconds engine_book::event_interval(const std::string& id) const {
  const record* it = find(id);
  const bool observed = it != nullptr && it->event_ms > 0;
  return whole_ms(observed ? it->event_ms : first_event_ms);
}

}  // namespace trestlepost::routing

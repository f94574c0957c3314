// Model of the caches, pending prompts and speeds of model endpoints.
#include "trestlepost/routing/engine_book.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Number of priority levels of engines; lower priorities count as the last
// level.
constexpr int most_priorities = 10;
// Share of an engine's KV memory that caches may use; the rest holds running
// requests.
constexpr double cache_share = 0.6;
// Weight of a new observation in an endpoint's slowness and event interval.
constexpr double newest_weight = 0.05;
// Bounds of an endpoint's slowness.
constexpr double fastest = 0.3;
constexpr double slowest = 6;
// Minimum size of announced prefixes in tokens. Shorter ones are fast to
// prefill.
constexpr std::uint32_t least_announced = 1024;
// Time for which a prefix is sent with each heartbeat, so that a lost heartbeat
// loses no prefix.
constexpr milliseconds announced_for{450};
// Defaults until responses have been observed.
constexpr double first_event_ms = 80;
constexpr double first_hold_ms = 1000;

std::size_t slot_of(int priority) {
  return static_cast<std::size_t>(std::clamp(priority, 0, most_priorities - 1));
}

/// Returns the tokens that are prefilled before a new request of `priority`.
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
    services_.try_emplace(it.service);
  }
  endpoints_ = std::move(next);
}

const engine_book::record* engine_book::find(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const latency_model& engine_book::model_of(const record& it) const {
  return services_.at(it.declared.service).latency;
}

uncached_prompt engine_book::uncached(const std::string& id,
                                      const engine_work& work) const {
  uncached_prompt out;
  const record* it = find(id);
  std::uint32_t cached = 0;
  for (const prompt_section& section : work.sections) {
    // A section is cached only if all sections before it are cached too.
    if (it == nullptr || !it->cached.contains(section.id)) break;
    cached += section.tokens;
  }
  const std::uint32_t total =
      work.prompt_tokens - std::min(cached, work.prompt_tokens);
  // The last section is specific to the request, so no endpoint has it cached.
  const std::uint32_t last =
      work.sections.empty() ? total : work.sections.back().tokens;
  out.own = std::min(total, last);
  out.shared = total - out.own;
  return out;
}

outlook engine_book::predict(const std::string& id, const engine_work& work,
                             std::uint32_t tokens, double running) const {
  const record* it = find(id);
  if (it == nullptr) return {};
  const latency_model& model = model_of(*it);
  const double ahead = tokens_before(it->own, work.priority) +
                       tokens_before(it->others, work.priority);
  const double own = tokens;
  const unsigned per_event = std::max(1U, it->declared.tokens_per_event);
  const double events = static_cast<double>(work.output_tokens) / per_event;
  const double event_ms = it->event_ms > 0 ? it->event_ms : first_event_ms;
  const double first = model.predict_ms(ahead + own) * it->slowness;
  outlook out;
  out.wait = whole_ms(model.ms_per_unit() * ahead * it->slowness);
  out.first_token = whole_ms(first);
  out.finish = whole_ms(first + events * event_ms);
  out.slows_others =
      whole_ms(running * model.ms_per_unit() * own * it->slowness);
  return out;
}

engine_book::ticket engine_book::begin(const std::string& id,
                                       const engine_work& work,
                                       std::uint32_t tokens,
                                       monotonic_time now) {
  const ticket out = next_ticket_++;
  begun one;
  one.endpoint = id;
  one.tokens = tokens;
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
    std::vector<prompt_section> shared = work.sections;
    if (!shared.empty()) shared.pop_back();
    const std::uint32_t fresh = note_cached(it, shared);
    if (fresh >= least_announced) announce({id, std::move(shared)}, now);
    note_cached(it, work.sections);
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
  latency_model& model = services_.at(at->declared.service).latency;
  const double units = it.tokens + it.ahead;
  const double passed = ms_between(it.at, now);
  const double expected = std::max(1.0, model.predict_ms(units));
  mix_in(at->slowness, std::clamp(passed / expected, fastest, slowest));
  model.observe(units, passed / at->slowness);
}

void engine_book::end(ticket request, monotonic_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  const begun& it = found->second;
  if (it.waiting) {
    forget_pending(it);
  } else {
    observe_hold(it, now);
  }
  requests_.erase(found);
}

void engine_book::observe_hold(const begun& it, monotonic_time now) {
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end()) return;
  double& mean = services_.at(at->second.declared.service).hold_ms;
  const double passed = ms_between(it.at, now);
  if (mean <= 0) mean = passed;
  mix_in(mean, passed);
}

milliseconds engine_book::reading_time(const std::string& service,
                                       std::uint32_t tokens) const {
  const auto it = services_.find(service);
  const latency_model unknown;
  const latency_model& model =
      it == services_.end() ? unknown : it->second.latency;
  return whole_ms(model.ms_per_unit() * tokens);
}

milliseconds engine_book::mean_hold(const std::string& service) const {
  const auto it = services_.find(service);
  const bool observed = it != services_.end() && it->second.hold_ms > 0;
  return whole_ms(observed ? it->second.hold_ms : first_hold_ms);
}

void engine_book::forget_pending(const begun& it) {
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end()) return;
  const std::size_t slot = slot_of(it.priority);
  pending_tokens& own = at->second.own;
  if (slot < own.size()) own[slot] -= std::min(own[slot], it.tokens);
}

std::uint32_t engine_book::note_cached(
    record& it, const std::vector<prompt_section>& sections) {
  std::uint32_t fresh = 0;
  for (const prompt_section& section : sections) {
    const auto known = it.cached.find(section.id);
    if (known != it.cached.end()) {
      it.recent.splice(it.recent.begin(), it.recent, known->second.position);
      continue;
    }
    it.recent.push_front(section.id);
    it.cached[section.id] = {section.tokens, it.recent.begin()};
    it.cached_tokens += section.tokens;
    fresh += section.tokens;
  }
  evict(it);
  return fresh;
}

void engine_book::announce(cached_prefix prefix, monotonic_time now) {
  while (!announced_.empty() && announced_.front().at + announced_for < now) {
    announced_.pop_front();
  }
  announced_.push_back({std::move(prefix), now});
}

std::vector<cached_prefix> engine_book::recent_prefixes(
    monotonic_time now) const {
  std::vector<cached_prefix> out;
  for (const announcement& it : announced_) {
    if (it.at + announced_for >= now) out.push_back(it.prefix);
  }
  return out;
}

void engine_book::note_prefix(const cached_prefix& told) {
  const auto it = endpoints_.find(told.endpoint);
  if (it != endpoints_.end()) note_cached(it->second, told.sections);
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

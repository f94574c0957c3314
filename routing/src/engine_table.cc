// Model of the caches, pending prompts and speeds of model endpoints.
#include "trestlepost/routing/engine_table.h"

#include <algorithm>
#include <utility>

namespace trestlepost::routing {
namespace {

using std::chrono::milliseconds;

// Number of priority levels of engines; lower priorities count as the last
// level.
constexpr int priority_levels = 10;
// Share of an engine's KV memory that caches may use; the rest holds running
// requests.
constexpr double cache_share = 0.6;
// Weight of a new observation in an endpoint's slowdown and event interval.
constexpr double smoothing_weight = 0.05;
// Bounds of an endpoint's slowdown.
constexpr double min_slowdown = 0.3;
constexpr double max_slowdown = 6;
// Minimum size of announced prefixes in tokens. Shorter ones are fast to
// prefill.
constexpr std::uint32_t min_announced_tokens = 1024;
// Time for which a prefix is sent with each heartbeat, so that a lost heartbeat
// loses no prefix.
constexpr milliseconds announcement_lifetime{450};
// Defaults until responses have been observed.
constexpr double default_event_ms = 80;
constexpr double default_slot_time_ms = 1000;

std::size_t priority_index(int priority) {
  return static_cast<std::size_t>(std::clamp(priority, 0, priority_levels - 1));
}

/// Returns the tokens that are prefilled before a new request of `priority`.
std::uint32_t tokens_before(const pending_tokens& pending, int priority) {
  std::uint32_t out = 0;
  const std::size_t end =
      std::min(pending.size(), priority_index(priority) + 1);
  for (std::size_t i = 0; i < end; ++i) out += pending[i];
  return out;
}

void update_mean(double& mean, double newest) {
  mean = mean * (1 - smoothing_weight) + newest * smoothing_weight;
}

double ms_between(monotonic_time from, monotonic_time to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

milliseconds whole_ms(double ms) {
  return milliseconds(static_cast<std::int64_t>(ms));
}

}  // namespace

void engine_table::set_endpoints(const std::vector<endpoint>& endpoints) {
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

const engine_table::record* engine_table::find(const std::string& id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const latency_model& engine_table::model_of(const record& it) const {
  return services_.at(it.declared.service).latency;
}

uncached_prompt engine_table::uncached(const std::string& id,
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

completion_estimate engine_table::predict(const std::string& id,
                                          const engine_work& work,
                                          std::uint32_t tokens,
                                          double running) const {
  const record* it = find(id);
  if (it == nullptr) return {};
  const latency_model& model = model_of(*it);
  const double ahead = tokens_before(it->own, work.priority) +
                       tokens_before(it->others, work.priority);
  const double own = tokens;
  const unsigned per_event = std::max(1U, it->declared.tokens_per_event);
  const double events = static_cast<double>(work.output_tokens) / per_event;
  const double event_ms = it->event_ms > 0 ? it->event_ms : default_event_ms;
  const double first = model.predict_ms(ahead + own) * it->slowdown;
  completion_estimate out;
  out.wait = whole_ms(model.ms_per_unit() * ahead * it->slowdown);
  out.first_token = whole_ms(first);
  out.finish = whole_ms(first + events * event_ms);
  out.delay_to_others =
      whole_ms(running * model.ms_per_unit() * own * it->slowdown);
  return out;
}

engine_table::ticket engine_table::begin_request(const std::string& id,
                                                 const engine_work& work,
                                                 std::uint32_t tokens,
                                                 monotonic_time now) {
  const ticket out = next_ticket_++;
  active_request one;
  one.endpoint = id;
  one.tokens = tokens;
  one.priority = work.priority;
  one.at = now;
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    record& it = found->second;
    one.ahead = tokens_before(it.own, work.priority) +
                tokens_before(it.others, work.priority);
    const std::size_t level = priority_index(work.priority);
    if (it.own.size() <= level) it.own.resize(level + 1);
    it.own[level] += one.tokens;
    std::vector<prompt_section> shared = work.sections;
    if (!shared.empty()) shared.pop_back();
    const std::uint32_t added = add_cached(it, shared);
    if (added >= min_announced_tokens) announce({id, std::move(shared)}, now);
    add_cached(it, work.sections);
  }
  requests_.emplace(out, std::move(one));
  return out;
}

void engine_table::record_event(ticket request, monotonic_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  active_request& it = found->second;
  const auto at = endpoints_.find(it.endpoint);
  record* place = at == endpoints_.end() ? nullptr : &at->second;
  if (it.waiting) {
    first_event(it, place, now);
  } else if (place != nullptr) {
    const double passed = ms_between(it.last_event, now);
    if (place->event_ms <= 0) place->event_ms = passed;
    update_mean(place->event_ms, passed);
  }
  it.last_event = now;
}

void engine_table::first_event(active_request& it, record* at,
                               monotonic_time now) {
  remove_pending(it);
  it.waiting = false;
  if (at == nullptr || it.tokens == 0) return;
  latency_model& model = services_.at(at->declared.service).latency;
  const double units = it.tokens + it.ahead;
  const double passed = ms_between(it.at, now);
  const double expected = std::max(1.0, model.predict_ms(units));
  update_mean(at->slowdown,
              std::clamp(passed / expected, min_slowdown, max_slowdown));
  model.observe(units, passed / at->slowdown);
}

void engine_table::end_request(ticket request, monotonic_time now) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) return;
  const active_request& it = found->second;
  if (it.waiting) {
    remove_pending(it);
  } else {
    observe_slot_time(it, now);
  }
  requests_.erase(found);
}

void engine_table::observe_slot_time(const active_request& it,
                                     monotonic_time now) {
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end()) return;
  double& mean = services_.at(at->second.declared.service).slot_time_ms;
  const double passed = ms_between(it.at, now);
  if (mean <= 0) mean = passed;
  update_mean(mean, passed);
}

milliseconds engine_table::prefill_time(const std::string& service,
                                        std::uint32_t tokens) const {
  const auto it = services_.find(service);
  const latency_model unknown;
  const latency_model& model =
      it == services_.end() ? unknown : it->second.latency;
  return whole_ms(model.ms_per_unit() * tokens);
}

milliseconds engine_table::mean_slot_time(const std::string& service) const {
  const auto it = services_.find(service);
  const bool observed = it != services_.end() && it->second.slot_time_ms > 0;
  return whole_ms(observed ? it->second.slot_time_ms : default_slot_time_ms);
}

void engine_table::remove_pending(const active_request& it) {
  const auto at = endpoints_.find(it.endpoint);
  if (at == endpoints_.end()) return;
  const std::size_t level = priority_index(it.priority);
  pending_tokens& own = at->second.own;
  if (level < own.size()) own[level] -= std::min(own[level], it.tokens);
}

std::uint32_t engine_table::add_cached(
    record& it, const std::vector<prompt_section>& sections) {
  std::uint32_t added = 0;
  for (const prompt_section& section : sections) {
    const auto known = it.cached.find(section.id);
    if (known != it.cached.end()) {
      it.recent.splice(it.recent.begin(), it.recent, known->second.position);
      continue;
    }
    it.recent.push_front(section.id);
    it.cached[section.id] = {section.tokens, it.recent.begin()};
    it.cached_tokens += section.tokens;
    added += section.tokens;
  }
  evict(it);
  return added;
}

void engine_table::announce(cached_prefix prefix, monotonic_time now) {
  while (!announced_.empty() &&
         announced_.front().at + announcement_lifetime < now) {
    announced_.pop_front();
  }
  announced_.push_back({std::move(prefix), now});
}

std::vector<cached_prefix> engine_table::recent_prefixes(
    monotonic_time now) const {
  std::vector<cached_prefix> out;
  for (const announcement& it : announced_) {
    if (it.at + announcement_lifetime >= now) out.push_back(it.prefix);
  }
  return out;
}

void engine_table::add_cached_prefix(const cached_prefix& reported) {
  const auto it = endpoints_.find(reported.endpoint);
  if (it != endpoints_.end()) add_cached(it->second, reported.sections);
}

void engine_table::evict(record& it) {
  const double max_cached =
      static_cast<double>(it.declared.kv_capacity) * cache_share;
  while (static_cast<double>(it.cached_tokens) > max_cached &&
         !it.recent.empty()) {
    const auto oldest = it.cached.find(it.recent.back());
    it.cached_tokens -= oldest->second.tokens;
    it.cached.erase(oldest);
    it.recent.pop_back();
  }
}

void engine_table::set_peer_pending(
    std::map<std::string, pending_tokens> by_endpoint) {
  for (auto& [id, it] : endpoints_) {
    const auto reported = by_endpoint.find(id);
    it.others = reported == by_endpoint.end() ? pending_tokens()
                                              : std::move(reported->second);
  }
}

std::map<std::string, pending_tokens> engine_table::own_pending() const {
  std::map<std::string, pending_tokens> out;
  for (const auto& [id, it] : endpoints_) {
    const bool any = std::any_of(it.own.begin(), it.own.end(),
                                 [](std::uint32_t n) { return n > 0; });
    if (any) out[id] = it.own;
  }
  return out;
}

milliseconds engine_table::event_interval(const std::string& id) const {
  const record* it = find(id);
  const bool observed = it != nullptr && it->event_ms > 0;
  return whole_ms(observed ? it->event_ms : default_event_ms);
}

}  // namespace trestlepost::routing

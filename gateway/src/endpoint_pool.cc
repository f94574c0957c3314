#include "trestlepost/gateway/endpoint_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/base/log.h"
#include "trestlepost/gateway/engine_weighing.h"
#include "trestlepost/routing/endpoint_choice.h"
#include "trestlepost/routing/engine_choice.h"

namespace trestlepost::gateway {

namespace {

using membership::endpoint_view;
using std::chrono::milliseconds;

// Loads that answers report are taken in this often for one endpoint: the
// limits were made for reports of about this rate.
constexpr milliseconds report_interval{250};
// Endpoints queue a little; above this many times its limit one is not sent
// more, and the request is refused.
constexpr double most_over_limit = 3;
// The priority for which waits are told: all that waits counts.
constexpr int least_urgent = 9;
// Endpoints without engines are compared by their load among those whose
// chance to take a request is at least this share of the best one's.
constexpr double least_share_of_best = 0.6;
// What is kept of past cold requests.
constexpr std::chrono::seconds cold_memory{30};

}  // namespace

void endpoint_pool::learn(const std::vector<surface::listed_endpoint>& listed,
                          config::revision_number covers,
                          const std::map<std::string, std::string>& zones) {
  std::vector<surface::listed_endpoint> own;
  remote_caches_.clear();
  const monotonic_time now = context_.clock.now();
  for (surface::listed_endpoint& it : lives_.newest(listed, now)) {
    const auto zone = zones.find(it.availability_zone);
    if (zone == zones.end()) continue;
    if (zone->second == context_.self.region) {
      own.push_back(std::move(it));
    } else if (!it.leaving) {
      remote_caches_.add(it.service, zone->second,
                         {it.identity.name(), it.address});
    }
  }
  listed_ = std::move(own);
  warmth_.list_covers(covers);
  for (const surface::listed_endpoint& it : listed_) {
    warmth_.told(it.identity.name(), it.cold_left, routing::warmth_source::list,
                 now);
  }
  refresh();
}

void endpoint_pool::note_evacuations() {
  const std::set<std::string>& evacuated = context_.store.evacuated_zones();
  for (const std::string& it : evacuated) {
    if (evacuated_.contains(it)) continue;
    log_event(log_level::info, "zone-evacuated", {{"zone", it}});
  }
  evacuated_ = evacuated;
  // Not from `evacuated_`: a node that was cut off or stood still may get both
  // changes of an evacuation at once.
  for (const auto& [zone, revision] : context_.store.ended_evacuations()) {
    const bool news = warmth_.given_back(zone, revision, context_.clock.now());
    if (!news) continue;
    log_event(log_level::info, "zone-given-back", {{"zone", zone}});
  }
}

void endpoint_pool::refresh() {
  note_evacuations();
  const monotonic_time now = context_.clock.now();
  std::vector<membership::endpoint_tracker::declared_endpoint> declared;
  std::vector<routing::engine_book::endpoint> engines;
  places_.clear();
  for (const surface::listed_endpoint& it : listed_) {
    const std::string name = it.identity.name();
    declared.push_back({name, it.service, it.address, it.slots, it.leaving});
    places_[name] = {it.availability_zone, it.service};
    const config::planned_service* service = planned(it.service);
    if (service != nullptr && service->engine) {
      engines.push_back({name, it.service, service->engine->kv_capacity,
                         service->engine->tokens_per_event});
    }
  }
  context_.endpoints.declare(declared, now);
  engines_.declare(engines);
  warmth_.keep([this](const std::string& it) { return places_.contains(it); },
               now);
  acceptance_.keep(
      [this](const std::string& it) { return places_.contains(it); });
  std::erase_if(observed_at_,
                [this](const auto& it) { return !places_.contains(it.first); });
}

const config::planned_service* endpoint_pool::planned(
    const std::string& service) const {
  const config::plan_ptr& plan = context_.store.plan();
  return plan ? plan->find_service(service) : nullptr;
}

unsigned endpoint_pool::region_gateways() const {
  const std::size_t others =
      context_.nodes.possible_gateways(context_.self, context_.clock.now())
          .size();
  return static_cast<unsigned>(others + 1);
}

bool endpoint_pool::is_cold_sender(const std::string& endpoint) const {
  const monotonic_time now = context_.clock.now();
  // One that has just started hears few of the others yet, and what it sent
  // in its former life is not known.
  if (context_.state.is_learning(now)) return false;
  const std::uint64_t own = rendezvous_score(endpoint, context_.self.name);
  std::size_t better = 0;
  // Those that are not heard count too, or while many stand still more of the
  // rest take themselves for one of the few.
  for (const membership::node_record* it :
       context_.nodes.possible_gateways(context_.self, now)) {
    if (rendezvous_score(endpoint, it->last.node.name) > own) ++better;
  }
  return better < routing::cold_limiter::senders_per_endpoint;
}

bool endpoint_pool::may_be_cold(const std::string& endpoint,
                                const std::string& zone,
                                const config::planned_service* service,
                                monotonic_time now) const {
  const milliseconds warmup =
      service == nullptr ? milliseconds(0) : service->warmup;
  const bool unheard = warmup.count() > 0 && context_.state.is_behind(now);
  return unheard || warmth_.may_be_cold(endpoint, zone, warmup, now);
}

bool endpoint_pool::takes_requests(
    const endpoint_view& view, const config::planned_service* service) const {
  if (!view.usable) return false;
  const auto found = places_.find(view.name);
  if (found == places_.end() ||
      context_.store.evacuated_zones().contains(found->second.zone)) {
    return false;
  }
  const monotonic_time now = context_.clock.now();
  if (!may_be_cold(view.name, found->second.zone, service, now)) return true;
  const double bears =
      service == nullptr ? 0 : service->cold_requests_per_second;
  if (bears <= 0) return true;
  return is_cold_sender(view.name) && cold_.may_send(view.name, bears, now);
}

std::optional<chosen_endpoint> endpoint_pool::choose_engine(
    const std::vector<endpoint_view>& open, const routed_request& request,
    const config::engine_profile& engine) const {
  const engine_weighing weighing(open, request, engine, engines_,
                                 remote_caches_);
  const monotonic_time now = context_.clock.now();
  std::vector<chosen_endpoint> chosen;
  std::vector<routing::engine_candidate> candidates;
  for (const endpoint_view& it : open) {
    if (it.load >= it.limit * most_over_limit) continue;
    weighed_endpoint one = weighing.weigh(it);
    one.candidate.chance = one.chosen.chance = acceptance_.chance(it.name, now);
    chosen.push_back(std::move(one.chosen));
    candidates.push_back(one.candidate);
  }
  const routing::expectation wanted = expectation_of(request, now);
  const std::optional<std::size_t> best =
      routing::choose_engine(candidates, wanted);
  if (!best) return std::nullopt;
  return std::move(chosen[*best]);
}

std::vector<endpoint_view> endpoint_pool::likely_of(
    const std::vector<endpoint_view>& open) const {
  const monotonic_time now = context_.clock.now();
  double best = 0;
  for (const endpoint_view& it : open) {
    best = std::max(best, acceptance_.chance(it.name, now));
  }
  std::vector<endpoint_view> out;
  for (const endpoint_view& it : open) {
    const double chance = acceptance_.chance(it.name, now);
    if (chance >= least_share_of_best * best) out.push_back(it);
  }
  return out;
}

chosen_endpoint endpoint_pool::without_engine(const endpoint_view& view) const {
  chosen_endpoint out;
  out.name = view.name;
  out.address = view.address;
  out.chance = acceptance_.chance(view.name, context_.clock.now());
  return out;
}

std::optional<chosen_endpoint> endpoint_pool::choose_plain(
    const std::vector<endpoint_view>& all) const {
  const std::vector<endpoint_view> open = likely_of(all);
  const std::optional<endpoint_view> free = routing::choose_endpoint(
      open, {0, {}, region_gateways()}, context_.random);
  if (free) return without_engine(*free);
  const auto least =
      std::min_element(open.begin(), open.end(),
                       [](const endpoint_view& a, const endpoint_view& b) {
                         return a.load / a.limit < b.load / b.limit;
                       });
  if (least == open.end() || least->load >= least->limit * most_over_limit) {
    return std::nullopt;
  }
  return without_engine(*least);
}

result<chosen_endpoint> endpoint_pool::choose(
    const routed_request& request) const {
  const config::planned_service* service = planned(request.service);
  std::vector<endpoint_view> open;
  for (endpoint_view& it :
       context_.endpoints.views(request.service, context_.clock.now())) {
    const bool free =
        takes_requests(it, service) && !request.avoid.contains(it.name);
    if (free) open.push_back(std::move(it));
  }
  if (open.empty()) {
    return fail(error_kind::unavailable,
                "no endpoint of " + request.service + " in " +
                    context_.self.region + " takes requests",
                "send it again after Retry-After");
  }
  const bool engine = service != nullptr && service->engine.has_value();
  const std::optional<chosen_endpoint> chosen =
      engine ? choose_engine(open, request, *service->engine)
             : choose_plain(open);
  if (chosen) return *chosen;
  return fail(error_kind::overloaded,
              "every endpoint of " + request.service + " in " +
                  context_.self.region + " is full",
              "send it again after Retry-After");
}

membership::service_load endpoint_pool::load_of(
    const std::string& service) const {
  membership::service_load out;
  const config::planned_service* known = planned(service);
  const bool engine = known != nullptr && known->engine.has_value();
  routing::engine_work probe;
  probe.priority = least_urgent;
  milliseconds wait{0};
  milliseconds interval{0};
  for (const endpoint_view& it :
       context_.endpoints.views(service, context_.clock.now())) {
    out.in_flight += it.own_in_flight;
    const bool open =
        takes_requests(it, known) && it.load < it.limit * most_over_limit;
    if (!open) continue;
    ++out.endpoints;
    if (!engine) continue;
    wait += expected_at(it, probe, 0, *known->engine, engines_).wait;
    interval += engines_.event_interval(it.name);
  }
  // The mean, not the least: many gateways act on it before the next one.
  if (out.endpoints > 0) {
    out.wait = wait / out.endpoints;
    out.event_interval = interval / out.endpoints;
  }
  return out;
}

std::vector<std::string> endpoint_pool::services() const {
  std::set<std::string> out;
  for (const surface::listed_endpoint& it : listed_) out.insert(it.service);
  return {out.begin(), out.end()};
}

void endpoint_pool::observe(const std::string& endpoint,
                            const surface::endpoint_answer& answer) {
  const monotonic_time now = context_.clock.now();
  if (answer.cold_left) {
    warmth_.told(endpoint, *answer.cold_left, routing::warmth_source::answer,
                 now);
  }
  monotonic_time& last = observed_at_[endpoint];
  if (!answer.load || now < last + report_interval) return;
  last = now;
  context_.endpoints.report(
      endpoint, {answer.load->running, answer.load->waiting, now, 0});
}

void endpoint_pool::note_taken(const std::string& endpoint) {
  acceptance_.taken(endpoint, context_.clock.now());
}

void endpoint_pool::note_rejected(const std::string& endpoint) {
  acceptance_.rejected(endpoint, context_.clock.now());
}

void endpoint_pool::vanished(const std::string& endpoint) {
  log_event(log_level::info, "endpoint-vanished", {{"endpoint", endpoint}});
  std::erase_if(listed_, [&endpoint](const surface::listed_endpoint& it) {
    return it.identity.name() == endpoint;
  });
  refresh();
}

void endpoint_pool::note_sent(const std::string& endpoint) {
  const auto found = places_.find(endpoint);
  if (found == places_.end()) return;
  const monotonic_time now = context_.clock.now();
  const config::planned_service* service = planned(found->second.service);
  if (!may_be_cold(endpoint, found->second.zone, service, now)) return;
  cold_.sent(endpoint, now);
  log_event(log_level::info, "cold-endpoint-used",
            {{"endpoint", endpoint},
             {"gateways", std::to_string(region_gateways())}});
}

void endpoint_pool::tick() {
  cold_.forget(context_.clock.now() - cold_memory);
}

}  // namespace trestlepost::gateway

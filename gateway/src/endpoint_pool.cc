// Maintains the listed endpoints of the local region and selects among them.
#include "trestlepost/gateway/endpoint_pool.h"

#include <algorithm>
#include <set>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/engine_evaluator.h"
#include "trestlepost/gateway/sender_position.h"
#include "trestlepost/routing/endpoint_choice.h"
#include "trestlepost/routing/engine_choice.h"

namespace trestlepost::gateway {

namespace {

using membership::endpoint_view;
using std::chrono::milliseconds;

// Minimum interval between load reports that are recorded for one endpoint. The
// adaptive limits are designed for about this rate.
constexpr milliseconds min_report_interval{250};
// Endpoints queue a few requests themselves. An endpoint whose load exceeds its
// limit by this factor receives no more requests.
constexpr double max_load_factor = 3;
// The priority for which advertised waits are computed. All queued requests
// precede it.
constexpr int lowest_priority = 9;
// Among endpoints without engines, load decides between those whose acceptance
// probability is at least this fraction of the highest.
constexpr double min_acceptance_ratio = 0.6;
// How long requests to cold endpoints are remembered.
constexpr std::chrono::seconds cold_send_retention{30};

}  // namespace

void endpoint_pool::update_list(
    const std::vector<surface::listed_endpoint>& listed,
    config::revision_number covers,
    const std::map<std::string, std::string>& zones) {
  std::vector<surface::listed_endpoint> local;
  remote_caches_.clear();
  const monotonic_time now = context_.clock.now();
  for (surface::listed_endpoint& it :
       incarnations_.select_newest(listed, now)) {
    const auto zone = zones.find(it.availability_zone);
    if (zone == zones.end()) continue;
    if (zone->second == context_.self.region) {
      local.push_back(std::move(it));
    } else if (!it.leaving) {
      remote_caches_.add(it.service, zone->second,
                         {it.identity.name(), it.address});
    }
  }
  listed_ = std::move(local);
  warmth_.set_list_revision(covers);
  for (const surface::listed_endpoint& it : listed_) {
    warmth_.record_cold(it.identity.name(), it.cold_left,
                        routing::warmth_source::list, now);
  }
  refresh();
}

void endpoint_pool::update_evacuations() {
  const std::set<std::string>& evacuated = context_.store.evacuated_zones();
  for (const std::string& it : evacuated) {
    if (evacuated_.contains(it)) continue;
    log_event(log_level::info, "zone-evacuated", {{"zone", it}});
  }
  evacuated_ = evacuated;
  // Ends of evacuations don't depend on `evacuated_`: a node that was
  // partitioned or stalled may receive the start and the end of an evacuation
  // at once.
  for (const auto& [zone, revision] : context_.store.ended_evacuations()) {
    const bool is_new =
        warmth_.record_evacuation_end(zone, revision, context_.clock.now());
    if (!is_new) continue;
    log_event(log_level::info, "zone-evacuation-ended", {{"zone", zone}});
  }
}

void endpoint_pool::refresh() {
  update_evacuations();
  const monotonic_time now = context_.clock.now();
  std::vector<membership::endpoint_tracker::declared_endpoint> declared;
  std::vector<routing::engine_table::endpoint> engines;
  locations_.clear();
  for (const surface::listed_endpoint& it : listed_) {
    const std::string name = it.identity.name();
    declared.push_back({name, it.service, it.address, it.slots, it.leaving});
    locations_[name] = {it.availability_zone, it.service};
    const config::planned_service* service = find_planned(it.service);
    if (service != nullptr && service->engine) {
      engines.push_back({name, it.service, service->engine->kv_capacity,
                         service->engine->tokens_per_event});
    }
  }
  context_.endpoints.declare(declared, now);
  engines_.set_endpoints(engines);
  warmth_.retain(
      [this](const std::string& it) { return locations_.contains(it); }, now);
  acceptance_.retain(
      [this](const std::string& it) { return locations_.contains(it); });
  limits_.retain(
      [this](const std::string& it) { return locations_.contains(it); });
  std::erase_if(observed_at_, [this](const auto& it) {
    return !locations_.contains(it.first);
  });
}

const config::planned_service* endpoint_pool::find_planned(
    const std::string& service) const {
  const config::plan_ptr& plan = context_.store.plan();
  return plan ? plan->find_service(service) : nullptr;
}

bool endpoint_pool::is_cold_sender(const std::string& endpoint) const {
  const monotonic_time now = context_.clock.now();
  // A node that has just started has received heartbeats from few of the other
  // gateways, and does not know what its previous incarnation sent.
  if (context_.state.is_catching_up(now)) return false;
  return sender_position_of(context_, endpoint).rank <
         routing::cold_limiter::senders_per_endpoint;
}

bool endpoint_pool::bears_rejection(const endpoint_view& view) const {
  const monotonic_time now = context_.clock.now();
  const std::optional<unsigned> limit = rejections_.limit_of(view.service, now);
  if (!limit) return true;
  const routing::sender_position own = sender_position_of(context_, view.name);
  return rejections_.may_send(view.name, *limit, own.rank, own.gateways, now);
}

bool endpoint_pool::may_be_cold(const std::string& endpoint,
                                const std::string& zone,
                                const config::planned_service* service,
                                monotonic_time now) const {
  const milliseconds warmup =
      service == nullptr ? milliseconds(0) : service->warmup;
  const bool possibly_stale =
      warmup.count() > 0 && context_.state.is_behind(now);
  return possibly_stale || warmth_.may_be_cold(endpoint, zone, warmup, now);
}

const endpoint_pool::location* endpoint_pool::find_in_use(
    const endpoint_view& view) const {
  if (!view.usable) return nullptr;
  const auto found = locations_.find(view.name);
  const bool in_use =
      found != locations_.end() &&
      !context_.store.evacuated_zones().contains(found->second.zone);
  return in_use ? &found->second : nullptr;
}

bool endpoint_pool::accepts_requests(
    const endpoint_view& view, const config::planned_service* service) const {
  const location* place = find_in_use(view);
  if (place == nullptr || !limits_.may_send(view.name) ||
      !bears_rejection(view)) {
    return false;
  }
  const monotonic_time now = context_.clock.now();
  if (!may_be_cold(view.name, place->zone, service, now)) return true;
  const double cold_rate =
      service == nullptr ? 0 : service->cold_requests_per_second;
  if (cold_rate <= 0) return true;
  return is_cold_sender(view.name) && cold_.may_send(view.name, cold_rate, now);
}

std::optional<chosen_endpoint> endpoint_pool::choose_engine(
    const std::vector<endpoint_view>& available, const routed_request& request,
    const config::engine_profile& engine) const {
  const engine_evaluator evaluator(available, request, engine, engines_,
                                   remote_caches_);
  const monotonic_time now = context_.clock.now();
  std::vector<chosen_endpoint> chosen;
  std::vector<routing::engine_candidate> candidates;
  for (const endpoint_view& it : available) {
    if (it.load >= it.limit * max_load_factor) continue;
    evaluated_endpoint one = evaluator.evaluate(it);
    one.candidate.acceptance_probability = one.chosen.accept_probability =
        acceptance_.acceptance_probability(it.name, now);
    chosen.push_back(std::move(one.chosen));
    candidates.push_back(one.candidate);
  }
  const routing::latency_requirements requirements =
      latency_requirements_of(request, context_.stop, now);
  const std::optional<std::size_t> best =
      routing::choose_engine(candidates, requirements);
  if (!best) return std::nullopt;
  return std::move(chosen[*best]);
}

std::vector<endpoint_view> endpoint_pool::likely_to_accept(
    const std::vector<endpoint_view>& available) const {
  const monotonic_time now = context_.clock.now();
  double best = 0;
  for (const endpoint_view& it : available) {
    best = std::max(best, acceptance_.acceptance_probability(it.name, now));
  }
  std::vector<endpoint_view> out;
  for (const endpoint_view& it : available) {
    const double probability = acceptance_.acceptance_probability(it.name, now);
    if (probability >= min_acceptance_ratio * best) out.push_back(it);
  }
  return out;
}

chosen_endpoint endpoint_pool::make_chosen(const endpoint_view& view) const {
  chosen_endpoint out;
  out.name = view.name;
  out.address = view.address;
  out.accept_probability =
      acceptance_.acceptance_probability(view.name, context_.clock.now());
  return out;
}

std::optional<chosen_endpoint> endpoint_pool::choose_without_engine(
    const std::vector<endpoint_view>& all) const {
  const std::vector<endpoint_view> available = likely_to_accept(all);
  const std::optional<endpoint_view> free = routing::choose_endpoint(
      available, {0, {}, static_cast<unsigned>(region_gateway_count(context_))},
      context_.random);
  if (free) return make_chosen(*free);
  const auto least =
      std::min_element(available.begin(), available.end(),
                       [](const endpoint_view& a, const endpoint_view& b) {
                         return a.load / a.limit < b.load / b.limit;
                       });
  if (least == available.end() ||
      least->load >= least->limit * max_load_factor) {
    return std::nullopt;
  }
  return make_chosen(*least);
}

result<chosen_endpoint> endpoint_pool::choose(
    const routed_request& request) const {
  const config::planned_service* service = find_planned(request.service);
  std::vector<endpoint_view> available;
  const bool admitted = limits_.admits(request.service, request.work.priority);
  for (endpoint_view& it :
       context_.endpoints.views(request.service, context_.clock.now())) {
    const bool tried =
        request.avoid.contains(it.name) || request.unreached.contains(it.name);
    const bool yields = !admitted && limits_.is_limited(it.name);
    if (!tried && !yields && accepts_requests(it, service))
      available.push_back(std::move(it));
  }
  if (available.empty()) {
    return fail(error_kind::unavailable,
                "no endpoint of " + request.service + " in " +
                    context_.self.region + " accepts requests",
                "send it again after Retry-After");
  }
  const bool engine = service != nullptr && service->engine.has_value();
  const std::optional<chosen_endpoint> chosen =
      engine ? choose_engine(available, request, *service->engine)
             : choose_without_engine(available);
  if (chosen) return *chosen;
  return fail(error_kind::overloaded,
              "every endpoint of " + request.service + " in " +
                  context_.self.region + " is full",
              "send it again after Retry-After");
}

std::optional<milliseconds> endpoint_pool::schedule_return(
    const routed_request& request) {
  std::vector<std::string> limited;
  for (const endpoint_view& it :
       context_.endpoints.views(request.service, context_.clock.now())) {
    if (find_in_use(it) == nullptr) continue;
    if (!limits_.is_limited(it.name)) return std::nullopt;
    limited.push_back(it.name);
  }
  if (limited.empty()) return std::nullopt;
  return limits_.schedule_return(request.service, request.work.priority,
                                 limited);
}

membership::service_load endpoint_pool::load_of(
    const std::string& service) const {
  membership::service_load out;
  const config::planned_service* known = find_planned(service);
  const bool engine = known != nullptr && known->engine.has_value();
  routing::engine_work reference;
  reference.priority = lowest_priority;
  milliseconds wait{0};
  milliseconds interval{0};
  const bool reachable = !context_.endpoints.is_unreachable(service);
  for (const endpoint_view& it :
       context_.endpoints.views(service, context_.clock.now())) {
    out.in_flight += it.own_in_flight;
    const bool available = reachable && accepts_requests(it, known) &&
                           it.load < it.limit * max_load_factor;
    if (!available) continue;
    ++out.endpoints;
    if (!engine) continue;
    wait +=
        estimate_completion(it, reference, 0, *known->engine, engines_).wait;
    interval += engines_.event_interval(it.name);
  }
  // The mean rather than the minimum, since many gateways act on this value
  // before the next one arrives.
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

void endpoint_pool::record_answer(const std::string& endpoint,
                                  const surface::endpoint_answer& answer) {
  const monotonic_time now = context_.clock.now();
  if (answer.cold_left) {
    warmth_.record_cold(endpoint, *answer.cold_left,
                        routing::warmth_source::answer, now);
  }
  const auto found = locations_.find(endpoint);
  if (found != locations_.end()) {
    rejections_.record_limit(found->second.service, answer.max_rejections, now);
  }
  limits_.record_answer(endpoint, answer);
  monotonic_time& last = observed_at_[endpoint];
  if (!answer.load || now < last + min_report_interval) return;
  last = now;
  context_.endpoints.report(
      endpoint, {answer.load->running, answer.load->waiting, now, 0});
}

void endpoint_pool::record_accepted(const std::string& endpoint) {
  acceptance_.record_accepted(endpoint, context_.clock.now());
}

void endpoint_pool::record_rejected(const std::string& endpoint) {
  acceptance_.record_rejected(endpoint, context_.clock.now());
}

void endpoint_pool::remove_endpoint(const std::string& endpoint) {
  log_event(log_level::info, "endpoint-vanished", {{"endpoint", endpoint}});
  std::erase_if(listed_, [&endpoint](const surface::listed_endpoint& it) {
    return it.identity.name() == endpoint;
  });
  refresh();
}

void endpoint_pool::record_outcome(const std::string& endpoint, bool rejected) {
  rejections_.record_outcome(endpoint, rejected, context_.clock.now());
}

void endpoint_pool::record_sent(const std::string& endpoint) {
  rejections_.record_sent(endpoint);
  limits_.record_sent(endpoint);
  const auto found = locations_.find(endpoint);
  if (found == locations_.end()) return;
  const monotonic_time now = context_.clock.now();
  const config::planned_service* service = find_planned(found->second.service);
  if (!may_be_cold(endpoint, found->second.zone, service, now)) return;
  cold_.record_sent(endpoint, now);
  log_event(log_level::info, "cold-endpoint-used",
            {{"endpoint", endpoint},
             {"gateways", std::to_string(region_gateway_count(context_))}});
}

void endpoint_pool::tick() {
  cold_.remove_before(context_.clock.now() - cold_send_retention);
  rejections_.remove_expired(context_.clock.now());
  limits_.tick();
}

}  // namespace trestlepost::gateway

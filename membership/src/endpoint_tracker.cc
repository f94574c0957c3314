#include "trestlepost/membership/endpoint_tracker.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::membership {
namespace {

// The limit of an endpoint varies between one request and this multiple of its
// slots.
constexpr double max_limit_per_slot = 1.25;
constexpr double limit_decrease_factor = 0.9;
constexpr double limit_increase_step = 0.5;  // requests
// Share of its limit that a returned endpoint starts with.
constexpr double initial_ramp_share = 0.25;
// Share of the limit that this gateway's requests must reach to raise the limit
// above the endpoint's slots.
constexpr double limit_increase_load = 0.9;

}  // namespace

charts::chart_interface endpoint_chart_interface() {
  return {{endpoint_states::joining, endpoint_states::serving,
           endpoint_states::ejected, endpoint_states::leaving},
          {"ramp_done", "request_failed", "connection_refused", "ejection_over",
           "listed_live", "listed_leaving", "drain_ordered", "drain_lifted"},
          {"may_eject", "not_drained", "not_listed_leaving"}};
}

void endpoint_tracker::declare(const std::vector<declared_endpoint>& endpoints,
                               monotonic_time now) {
  std::set<std::string> declared_names;
  std::set<std::string> services;
  for (const declared_endpoint& it : endpoints) {
    declared_names.insert(it.name);
    services.insert(it.service);
    const auto found = endpoints_.find(it.name);
    const bool same = found != endpoints_.end() &&
                      found->second.declared.address == it.address;
    if (!same) {
      record fresh;
      fresh.declared = it;
      fresh.state = chart_.initial();
      fresh.limit = it.slots;
      // After the start of this node no endpoint is known to have just
      // returned, so they start at their full limit.
      fresh.ramp_started_at = any_declared_ ? now : now - options_.ramp;
      endpoints_[it.name] = std::move(fresh);
    }
    record& one = endpoints_[it.name];
    const bool was_drained = !same ? false : one.declared.drained;
    one.declared = it;
    if (it.drained != was_drained) {
      handle(one, it.drained ? "drain_ordered" : "drain_lifted", now);
    }
  }
  std::erase_if(endpoints_, [&declared_names](const auto& it) {
    return !declared_names.contains(it.first);
  });
  reachability_.retain(declared_names, services);
  any_declared_ = any_declared_ || !endpoints_.empty();
}

endpoint_tracker::record* endpoint_tracker::find(const std::string& name) {
  const auto it = endpoints_.find(name);
  return it == endpoints_.end() ? nullptr : &it->second;
}

bool endpoint_tracker::guard_holds(const record& it,
                                   const std::string& guard) const {
  if (guard == "may_eject") return ejection_allowed(it);
  if (guard == "not_drained") return !it.declared.drained;
  return !it.listed_leaving;
}

bool endpoint_tracker::ejection_allowed(const record& it) const {
  if (it.failures < options_.failures_to_eject) return false;
  unsigned total = 0;
  unsigned ejected = 0;
  for (const auto& [name, other] : endpoints_) {
    if (other.declared.service != it.declared.service) continue;
    ++total;
    if (other.state == endpoint_states::ejected) ++ejected;
  }
  return (ejected + 1) * 100 <= total * options_.max_ejected_percent;
}

void endpoint_tracker::handle(record& it, const std::string& event,
                              monotonic_time now) {
  const std::string& next = chart_.next(
      it.state, event,
      [this, &it](const std::string& guard) { return guard_holds(it, guard); });
  if (next == it.state) return;
  log_event(log_level::info, "endpoint-state-changed",
            {{"endpoint", it.declared.name},
             {"from", it.state},
             {"to", next},
             {"cause", event}});
  const bool returned =
      it.state != endpoint_states::serving && next == endpoint_states::joining;
  it.state = next;
  if (returned) it.ramp_started_at = now;
  if (next != endpoint_states::ejected) return;
  constexpr unsigned max_doublings = 10;
  const std::chrono::milliseconds length = std::min(
      options_.max_ejection,
      options_.first_ejection * (1U << std::min(it.ejections, max_doublings)));
  ++it.ejections;
  it.failures = 0;
  it.ejected_until = now + length;
}

void endpoint_tracker::request_started(const std::string& name) {
  ++in_flight_[name];
}

void endpoint_tracker::request_ended(const std::string& name) {
  const auto it = in_flight_.find(name);
  if (it != in_flight_.end() && --it->second == 0) in_flight_.erase(it);
}

void endpoint_tracker::request_succeeded(const std::string& name) {
  record* it = find(name);
  if (it == nullptr) return;
  it->failures = 0;
  if (it->state == endpoint_states::serving) it->ejections = 0;
}

void endpoint_tracker::request_failed(const std::string& name,
                                      monotonic_time now) {
  record* it = find(name);
  if (it == nullptr) return;
  ++it->failures;
  handle(*it, "request_failed", now);
}

void endpoint_tracker::connection_refused(const std::string& name,
                                          monotonic_time now) {
  record* it = find(name);
  if (it != nullptr) handle(*it, "connection_refused", now);
}

void endpoint_tracker::endpoint_reached(const std::string& name,
                                        monotonic_time now) {
  const record* reached = find(name);
  if (reached == nullptr) return;
  const std::string& service = reached->declared.service;
  const bool was_unreachable = is_unreachable(service);
  reachability_.record_reached(service, now);
  if (!was_unreachable) return;
  for (auto& [other, it] : endpoints_) {
    if (it.declared.service != service) continue;
    it.failures = 0;
    it.ejections = 0;
    if (it.state == endpoint_states::ejected) handle(it, "ejection_over", now);
  }
}

void endpoint_tracker::endpoint_unreached(const std::string& name,
                                          monotonic_time now) {
  const record* it = find(name);
  if (it == nullptr) return;
  reachability_.record_unreached(it->declared.service, name, now);
}

void endpoint_tracker::endpoint_unanswered(const std::string& name,
                                           monotonic_time sent_at,
                                           monotonic_time now) {
  const record* it = find(name);
  if (it == nullptr) return;
  reachability_.record_unanswered(it->declared.service, name, sent_at, now);
}

std::optional<monotonic_time> endpoint_tracker::unreachable_since(
    const std::string& service) const {
  // Asked for each request.
  if (!reachability_.has_failures(service)) return std::nullopt;
  std::size_t endpoints = 0;
  for (const auto& [name, it] : endpoints_) {
    if (belongs_to(it, service)) ++endpoints;
  }
  return reachability_.unreachable_since(service, endpoints);
}

bool endpoint_tracker::belongs_to(const record& it,
                                  const std::string& service) {
  return it.declared.service == service && it.state != endpoint_states::leaving;
}

bool endpoint_tracker::all_ejected(const std::string& service) const {
  bool any = false;
  for (const auto& [name, it] : endpoints_) {
    if (!belongs_to(it, service)) continue;
    if (it.state != endpoint_states::ejected) return false;
    any = true;
  }
  return any;
}

std::set<std::string> endpoint_tracker::unreachable_services() const {
  std::set<std::string> out = reachability_.failing_services();
  std::erase_if(out,
                [this](const std::string& it) { return !is_unreachable(it); });
  return out;
}

void endpoint_tracker::report(const std::string& name, load_report in) {
  record* it = find(name);
  if (it == nullptr) return;
  in.own_in_flight_at_report = in_flight_at(name);
  it->last_report = in;
  adapt_limit(*it);
}

void endpoint_tracker::adapt_limit(record& it) {
  const double max_limit = max_limit_per_slot * it.declared.slots;
  const bool congested = it.last_report.waiting > it.declared.slots / 4;
  const bool near_limit =
      in_flight_at(it.declared.name) >= limit_increase_load * it.limit;
  if (congested) {
    it.limit = std::max(1.0, it.limit * limit_decrease_factor);
  } else if (near_limit || it.limit < it.declared.slots) {
    it.limit = std::min(max_limit, it.limit + limit_increase_step);
  }
}

void endpoint_tracker::platform_listed(const std::string& address, bool leaving,
                                       monotonic_time now) {
  for (auto& [name, it] : endpoints_) {
    // The platform lists VMs by IP address only; endpoint addresses include a
    // port.
    const bool same = it.declared.address == address ||
                      it.declared.address.starts_with(address + ":");
    if (!same) continue;
    if (it.listed_leaving == leaving) continue;
    it.listed_leaving = leaving;
    handle(it, leaving ? "listed_leaving" : "listed_live", now);
  }
}

void endpoint_tracker::set_others_in_flight(
    std::map<std::string, std::uint32_t> by_endpoint) {
  others_in_flight_ = std::move(by_endpoint);
}

void endpoint_tracker::tick(monotonic_time now) {
  for (auto& [name, it] : endpoints_) {
    if (it.state == endpoint_states::ejected && now >= it.ejected_until) {
      handle(it, "ejection_over", now);
    }
    if (it.state == endpoint_states::joining && ramp_share(it, now) >= 1) {
      handle(it, "ramp_done", now);
    }
  }
}

double endpoint_tracker::ramp_share(const record& it,
                                    monotonic_time now) const {
  if (it.state != endpoint_states::joining) return 1;
  const double passed =
      std::chrono::duration<double>(now - it.ramp_started_at) /
      std::chrono::duration<double>(options_.ramp);
  return std::clamp(initial_ramp_share + (1 - initial_ramp_share) * passed,
                    initial_ramp_share, 1.0);
}

endpoint_view endpoint_tracker::view_of(const record& it,
                                        monotonic_time now) const {
  endpoint_view out;
  out.name = it.declared.name;
  out.service = it.declared.service;
  out.address = it.declared.address;
  out.state = it.state;
  out.usable = it.state == endpoint_states::joining ||
               it.state == endpoint_states::serving;
  out.limit = std::max(1.0, it.limit * ramp_share(it, now));
  out.own_in_flight = in_flight_at(it.declared.name);
  const auto others = others_in_flight_.find(it.declared.name);
  out.others_in_flight = others == others_in_flight_.end() ? 0 : others->second;
  // Reported load loses weight with age. The requests in flight from gateways
  // are exact.
  double reported = 0;
  const load_report& last = it.last_report;
  const std::chrono::duration<double> age = now - last.at;
  const std::chrono::duration<double> lifetime = options_.report_lifetime;
  if (last.at != monotonic_time() && age < lifetime) {
    const double total = last.running + last.waiting;
    const double reported_others =
        std::max(0.0, total - last.own_in_flight_at_report);
    reported = reported_others * (1 - age / lifetime);
  }
  out.load =
      out.own_in_flight + std::max<double>(out.others_in_flight, reported);
  return out;
}

std::vector<endpoint_view> endpoint_tracker::views(const std::string& service,
                                                   monotonic_time now) const {
  std::vector<endpoint_view> out;
  for (const auto& [name, it] : endpoints_) {
    if (it.declared.service == service) out.push_back(view_of(it, now));
  }
  return out;
}

std::vector<endpoint_view> endpoint_tracker::all_views(
    monotonic_time now) const {
  std::vector<endpoint_view> out;
  for (const auto& [name, it] : endpoints_) out.push_back(view_of(it, now));
  return out;
}

std::map<std::string, std::uint32_t> endpoint_tracker::own_in_flight() const {
  std::map<std::string, std::uint32_t> out;
  for (const auto& [name, requests] : in_flight_) {
    if (endpoints_.contains(name)) out[name] = requests;
  }
  return out;
}

unsigned endpoint_tracker::in_flight_at(const std::string& name) const {
  const auto it = in_flight_.find(name);
  return it == in_flight_.end() ? 0 : it->second;
}

}  // namespace trestlepost::membership

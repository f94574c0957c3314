#include "trestlepost/gateway/endpoint_limits.h"

#include <algorithm>

#include "trestlepost/base/log.h"
#include "trestlepost/gateway/sender_position.h"

namespace trestlepost::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds position_interval{500};
// Callers for whom there is no room within this time are told to return in the
// same time after it.
constexpr milliseconds max_scheduled_return{30'000};

}  // namespace

void endpoint_limits::record_answer(const std::string& endpoint,
                                    const surface::endpoint_answer& answer) {
  if (answer.other_endpoint) return;
  if (answer.request_limit.is_invalid) {
    log_event(log_level::warn, "invalid-request-limit",
              {{"endpoint", endpoint},
               {"detail", "the stated limit is no number of requests"},
               {"remedy", "check the limit that the endpoint is set to"}});
    return;
  }
  const bool changed = limiter_.record_answer(
      endpoint, answer.request_limit.per_second, context_.clock.now());
  if (changed) limit_changed(endpoint, "answer");
}

void endpoint_limits::record_reports(
    const membership::limit_statements& reports) {
  const monotonic_time now = context_.clock.now();
  for (const auto& [endpoint, it] : reports) {
    const bool changed =
        limiter_.record_report(endpoint, it.per_second, now - it.age, now);
    if (changed) limit_changed(endpoint, "gateway");
  }
}

void endpoint_limits::limit_changed(const std::string& endpoint,
                                    const std::string& source) {
  update_position(endpoint);
  const std::optional<double> limit = limiter_.limit_of(endpoint);
  log_event(log_level::info,
            limit ? "request-limit-set" : "request-limit-ended",
            {{"endpoint", endpoint},
             {"per_second", limit ? std::to_string(*limit) : ""},
             {"source", source},
             {"gateways", std::to_string(region_gateway_count(context_))}});
}

void endpoint_limits::update_position(const std::string& endpoint) {
  limiter_.set_position(endpoint, sender_position_of(context_, endpoint),
                        context_.clock.now());
}

membership::limit_statements endpoint_limits::own_statements() const {
  return limiter_.own_statements(context_.clock.now());
}

bool endpoint_limits::may_send(const std::string& endpoint) const {
  if (!is_limited(endpoint)) return true;
  const monotonic_time now = context_.clock.now();
  // A node that has just started knows few of the other gateways.
  return !context_.state.is_catching_up(now) &&
         limiter_.may_send(endpoint, now);
}

void endpoint_limits::record_sent(const std::string& endpoint) {
  limiter_.record_sent(endpoint, context_.clock.now());
}

bool endpoint_limits::admits(const std::string& service, int priority) const {
  const auto it = refused_.find(service);
  return it == refused_.end() ||
         it->second.admits(priority, context_.random, context_.clock.now());
}

milliseconds endpoint_limits::schedule_return(
    const std::string& service, int priority,
    const std::vector<std::string>& endpoints) {
  refused_[service].record_refused(priority, context_.clock.now());
  double per_second = 0;
  for (const std::string& it : endpoints)
    per_second += limiter_.limit_of(it).value_or(0);
  per_second *= routing::used_share_of_request_limit;
  const monotonic_time now = context_.clock.now();
  const milliseconds beyond =
      max_scheduled_return +
      milliseconds(context_.random.below(max_scheduled_return.count()));
  if (per_second <= 0) return beyond;
  // Callers return to any gateway of the region.
  const std::chrono::duration<double> interval(
      static_cast<double>(region_gateway_count(context_)) / per_second);
  if (interval > max_scheduled_return) return beyond;
  monotonic_time& next = next_return_[service];
  const monotonic_time at =
      std::max(next, now) +
      std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
  if (at > now + max_scheduled_return) return beyond;
  next = at;
  return std::chrono::ceil<milliseconds>(at - now);
}

void endpoint_limits::retain(
    const std::function<bool(const std::string&)>& known) {
  limiter_.retain(known, context_.clock.now());
}

void endpoint_limits::tick() {
  const monotonic_time now = context_.clock.now();
  if (now < positions_at_ + position_interval) return;
  positions_at_ = now;
  for (const std::string& it : limiter_.limited_endpoints())
    update_position(it);
}

}  // namespace trestlepost::gateway

// Fingerprint, engine work and permitted regions of a routed request.
#include "trestlepost/gateway/routed_request.h"

#include <algorithm>

#include "trestlepost/gateway/request_fingerprint.h"

namespace trestlepost::gateway {

const std::string& routed_request::fingerprint(std::string_view secret) {
  if (fingerprint_.empty()) {
    const std::string_view caller =
        organisation ? std::string_view(organisation->name)
                     : head.passthrough_header("Authorization");
    const request_identity identity{caller, head.method, head.host, head.target,
                                    transport::view_of(body)};
    fingerprint_ = fingerprint_of(identity, secret);
  }
  return fingerprint_;
}

unsigned routed_request::sends_left() const {
  const unsigned made = sends.count();
  return max_sends > made ? max_sends - made : 1;
}

request_times times_of(transport::http_exchange& exchange, monotonic_time now) {
  const std::chrono::milliseconds waited =
      exchange.time_since_data().value_or(std::chrono::milliseconds(0));
  return {now - waited, now};
}

error overdue_error() {
  return {error_kind::deadline,
          "the request was read after its time for an answer had passed",
          "send it to another node"};
}

int priority_of(const config::route& route,
                const config::organisation* organisation) {
  if (organisation == nullptr) return route.priority;
  constexpr int route_levels = 3;
  const int first = organisation->priority.value_or(route.priority);
  return first * route_levels + std::clamp(route.priority, 0, route_levels - 1);
}

bool routed_request::permits(const std::string& region) const {
  const bool by_route = permits_region(route->home_regions, region);
  return by_route &&
         (!organisation || permits_region(organisation->home_regions, region));
}

routing::engine_work work_of(const routed_request& request) {
  const surface::call_head& head = request.head;
  routing::engine_work out;
  for (const surface::prompt_part& it : head.prompt.parts) {
    out.sections.push_back({it.id, it.tokens});
  }
  out.prompt_tokens = head.prompt.prompt_tokens;
  out.output_tokens = head.prompt.expected_output_tokens.value_or(
      head.prompt.most_output_tokens / 2);
  out.priority = priority_of(*request.route, request.organisation.get());
  return out;
}

double usage_of(const routed_request& request,
                const config::usage_limit& limit) {
  if (limit.unit == config::usage_unit::requests) return 1;
  const surface::prompt_outline& prompt = request.head.prompt;
  if (!prompt.known()) return limit.tokens_of_plain_request;
  return static_cast<double>(prompt.prompt_tokens) + prompt.most_output_tokens;
}

routing::latency_requirements latency_requirements_of(
    const routed_request& request, const stop_deadline& stop,
    monotonic_time now) {
  return {request.route->latency_objective,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              stop.bound(request.deadline) - now)};
}

bool permits_region(const std::vector<std::string>& homes,
                    const std::string& region) {
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

bool has_no_home(const routed_request& request) {
  if (!request.organisation) return false;
  const std::vector<std::string>& homes = request.route->home_regions;
  const std::vector<std::string>& others = request.organisation->home_regions;
  if (homes.empty() || others.empty()) return false;
  return std::none_of(homes.begin(), homes.end(), [&others](const auto& it) {
    return permits_region(others, it);
  });
}

}  // namespace trestlepost::gateway

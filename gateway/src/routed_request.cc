// Fingerprint, engine work and permitted regions of a routed request.
#include "trestlepost/gateway/routed_request.h"

#include <algorithm>

#include "trestlepost/gateway/request_fingerprint.h"

namespace trestlepost::gateway {

const std::string& routed_request::fingerprint(std::string_view secret) {
  if (fingerprint_.empty()) {
    const request_identity identity{head.passthrough_header("Authorization"),
                                    head.method, head.host, head.target, body};
    fingerprint_ = fingerprint_of(identity, secret);
  }
  return fingerprint_;
}

routing::engine_work work_of(const surface::call_head& head,
                             const config::route& route) {
  routing::engine_work out;
  for (const surface::prompt_part& it : head.prompt.parts) {
    out.sections.push_back({it.id, it.tokens});
  }
  out.prompt_tokens = head.prompt.prompt_tokens;
  out.output_tokens = head.prompt.expected_output_tokens.value_or(
      head.prompt.most_output_tokens / 2);
  out.priority = route.priority;
  return out;
}

routing::latency_requirements latency_requirements_of(
    const routed_request& request, monotonic_time now) {
  return {request.route->latency_objective,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              request.deadline - now)};
}

bool permits_region(const config::route& route, const std::string& region) {
  const std::vector<std::string>& homes = route.home_regions;
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), region) != homes.end();
}

}  // namespace trestlepost::gateway

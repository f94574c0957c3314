#include "trestlepost/routing/refusal_correlation.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace trestlepost::routing {
namespace {

constexpr std::chrono::milliseconds correlation_time{500};

std::set<std::string> intersection(const std::set<std::string>& a,
                                   const std::set<std::string>& b) {
  std::set<std::string> out;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::inserter(out, out.end()));
  return out;
}

}  // namespace

void refusal_correlation::record(const std::string& service,
                                 const std::string& endpoint,
                                 std::set<std::string> requests,
                                 monotonic_time now) {
  refusals_.push_back({service, endpoint, std::move(requests), now});
}

bool refusal_correlation::is_common_loss(const std::string& service,
                                         monotonic_time now) const {
  std::set<std::string> endpoints;
  std::set<std::string> common;
  for (const refusal& it : refusals_) {
    if (it.service != service || now > it.at + correlation_time) continue;
    common =
        endpoints.empty() ? it.requests : intersection(common, it.requests);
    endpoints.insert(it.endpoint);
  }
  return endpoints.size() > 1 && common.empty();
}

void refusal_correlation::remove_expired(monotonic_time now) {
  while (!refusals_.empty() && now > refusals_.front().at + correlation_time)
    refusals_.pop_front();
}

}  // namespace trestlepost::routing

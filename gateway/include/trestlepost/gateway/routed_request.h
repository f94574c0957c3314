// A request assigned to a service by a route of the traffic plan.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/routing/charged_sends.h"
#include "trestlepost/routing/completion_estimate.h"
#include "trestlepost/routing/engine_table.h"
#include "trestlepost/surface/call_head.h"

namespace trestlepost::gateway {

/// The request, its route, and the attempts made so far.
struct routed_request {
  surface::call_head head;
  std::string body;
  config::plan_ptr plan;  // owns the object behind `route`
  const config::route* route = nullptr;
  std::string service;
  routing::engine_work work;
  monotonic_time arrived;
  /// The earlier of the caller's deadline and the route's timeout.
  monotonic_time deadline;
  /// Endpoints that the request was sent to or that refused it.
  std::set<std::string> avoid;
  routing::charged_sends sends;

  /// Returns the request's fingerprint (see `request_fingerprint.h`), computed
  /// on first use.
  const std::string& fingerprint(std::string_view secret);

 private:
  std::string fingerprint_;
};

/// Returns the work of an engine for a request with `head`.
routing::engine_work work_of(const surface::call_head& head,
                             const config::route& route);

/// Returns the latency objective and the remaining time for an answer that
/// starts at `now`.
routing::latency_requirements latency_requirements_of(
    const routed_request& request, monotonic_time now);

/// Returns whether `route` permits `region` to serve, cache and store its
/// requests.
bool permits_region(const config::route& route, const std::string& region);

}  // namespace trestlepost::gateway

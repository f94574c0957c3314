// A request assigned to a service by a route of the traffic plan.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/gateway/stop_deadline.h"
#include "trestlepost/routing/charged_sends.h"
#include "trestlepost/routing/completion_estimate.h"
#include "trestlepost/routing/engine_table.h"
#include "trestlepost/surface/call_head.h"
#include "trestlepost/transport/http_server.h"
#include "trestlepost/transport/request_body.h"

namespace trestlepost::gateway {

/// When a request reached this system, and when this process had read its head.
struct request_times {
  monotonic_time arrived;
  monotonic_time read_at;
};

/// The request, its route, and the attempts made so far.
struct routed_request {
  surface::call_head head;
  transport::shared_text body;
  config::plan_ptr plan;  // owns the object behind `route`
  const config::route* route = nullptr;
  config::organisation_ptr organisation;  // of the caller, or null
  std::string service;
  routing::engine_work work;
  request_times times;
  /// The earlier of the caller's deadline and the route's timeout.
  monotonic_time deadline;
  /// Endpoints that the request was sent to or that refused it.
  std::set<std::string> avoid;
  /// Endpoints that this gateway could not reach. Another one may reach them.
  std::set<std::string> unreached;
  /// The number of endpoints that the request may be sent to, with those that
  /// other gateways have sent it to.
  unsigned max_sends = 1;
  routing::charged_sends sends;

  /// Returns the request's fingerprint (see `request_fingerprint.h`), computed
  /// on first use.
  const std::string& fingerprint(std::string_view secret);
  /// Returns the kind of the request in `run_time_bounds`.
  std::string run_kind() const { return route->name + "/" + service; }
  /// Returns how many sends another gateway may make for a forward of this
  /// request, at least one.
  unsigned sends_left() const;
  /// Returns whether the time for an answer is over.
  bool is_overdue(monotonic_time now) const { return now >= deadline; }
  /// Returns whether the request may be served, cached and stored in `region`.
  bool permits(const std::string& region) const;

 private:
  std::string fingerprint_;
};

/// Returns the times of a request that is read at `now`. It may have waited in
/// its socket before.
request_times times_of(transport::http_exchange& exchange, monotonic_time now);

/// The error of a request that was read when its time was over.
error overdue_error();

/// Returns the priority at an endpoint; 0 is the highest. The priority of the
/// organisation, if any, precedes that of the route, which decides between
/// requests of organisations with the same one.
int priority_of(const config::route& route,
                const config::organisation* organisation);

/// Returns the work of an engine for the request, whose head, route and
/// organisation are set.
routing::engine_work work_of(const routed_request& request);

/// Returns the amount that the request counts for in the unit of `limit`: one,
/// or the tokens that its caller states.
double usage_of(const routed_request& request,
                const config::usage_limit& limit);

/// Returns the latency objective and the remaining time for an answer that
/// starts at `now`. The stop of this node ends the answer.
routing::latency_requirements latency_requirements_of(
    const routed_request& request, const stop_deadline& stop,
    monotonic_time now);

/// Returns whether a list of home regions permits `region`; an empty list
/// permits all.
bool permits_region(const std::vector<std::string>& homes,
                    const std::string& region);

/// Returns whether no region is a home of both the route and the organisation.
bool has_no_home(const routed_request& request);

}  // namespace trestlepost::gateway

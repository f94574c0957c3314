// The traffic plan: routes from hosts and paths to services. Operators replace
// it as a whole, under increasing numbers. It is a single value in the
// replicated configuration, next to the objects that are written individually.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"
#include "trestlepost/config/organisation.h"

namespace trestlepost::config {

using plan_number = std::uint64_t;

/// How often a request of a route may run.
enum class route_kind {
  repeatable,  // may run more than once
  run_once,    // runs at most once
  stream  // answered by an event stream; runs at most once unless resumable
};

std::string_view to_string(route_kind kind);

/// One service of a route that splits its requests.
struct weighted_service {
  std::string service;
  std::uint32_t weight = 1;

  bool operator==(const weighted_service&) const = default;
};

/// Maps the requests for one host and path prefix to services.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;  // begins and ends with '/'
  route_kind kind = route_kind::run_once;
  /// Timeout for a request.
  std::chrono::milliseconds timeout{30'000};
  /// Target latency of the answer (of a stream: of its first event).
  std::chrono::milliseconds latency_objective{0};
  /// Target for the longest gap between two events of a stream; 0 if the route
  /// sets none.
  std::chrono::milliseconds longest_pause{0};
  int priority = 0;       // 0 is the highest priority
  unsigned attempts = 1;  // maximum endpoints that one request is sent to
  /// Requests identify the parts of their prompt, so that they can be routed to
  /// endpoints that have these parts cached.
  bool prefix_affinity = false;
  /// An interrupted stream may be resumed at another endpoint.
  bool resumable = false;
  /// Callers need no key, even if the plan requires keys.
  bool open_to_all = false;
  std::vector<weighted_service> split;  // at least one
  /// Regions that may serve, cache and store the requests; empty: all.
  std::vector<std::string> home_regions;

  bool may_repeat() const {
    return kind == route_kind::repeatable ||
           (kind == route_kind::stream && resumable);
  }
  bool operator==(const route&) const = default;
};

/// Properties of the model engine behind a service, as set by the operators.
struct engine_profile {
  unsigned batch_slots = 1;       // requests that run concurrently
  std::uint64_t kv_capacity = 0;  // KV cache tokens, running and cached
  double kv_token_bytes = 0;      // KV cache memory per token
  double link_mbps = 0;           // bandwidth of copies between endpoints
  bool moves = false;             // runs can move to another endpoint
  bool backups = false;           // runs can be backed up while they run
  unsigned tokens_per_event = 1;
  unsigned most_event_watchers = 0;  // maximum subscribers to cache events
  std::chrono::milliseconds longest_pin{0};
  std::chrono::milliseconds longest_hold{0};
  std::chrono::milliseconds handle_lifetime{0};

  bool operator==(const engine_profile&) const = default;
};

/// A service as defined by the plan. Its endpoints come from the directory.
struct planned_service {
  std::string name;
  std::string health_path;
  unsigned most_connections = 0;  // maximum per endpoint, from all nodes
  /// Time for which an endpoint stays cold after a start.
  std::chrono::milliseconds warmup{0};
  double cold_requests_per_second = 0;  // limit of a cold endpoint; 0: none
  std::optional<engine_profile> engine;

  bool operator==(const planned_service&) const = default;
};

/// Size limits and timeouts for requests of callers.
struct request_limits {
  std::size_t header_bytes = 16UL * 1024;
  std::size_t body_bytes = 8UL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds idle_timeout{60'000};

  bool operator==(const request_limits&) const = default;
};

/// A complete plan: all routes, services and limits.
struct traffic_plan {
  plan_number number = 0;
  std::vector<route> routes;
  std::vector<planned_service> services;
  request_limits limits;
  /// Callers need the key of one of the organisations.
  bool requires_key = false;
  organisation_list organisations;  // sorted by name
  /// The document as the operator sent it, returned on reads. Only control
  /// nodes keep it, since it contains the keys of organisations.
  std::string document;

  const planned_service* find_service(std::string_view name) const;
};

using plan_ptr = std::shared_ptr<const traffic_plan>;

/// Whether the JSON form includes `document`.
enum class plan_form { full, without_document };

json to_json(const route& value);
route route_from(const json& value);
json to_json(const std::vector<planned_service>& value);
std::vector<planned_service> services_from(const json& value);
json to_json(const request_limits& value);
request_limits limits_from(const json& value);

json to_json(const traffic_plan& value, plan_form form);
result<traffic_plan> traffic_plan_from(const json& value);

/// Validates a plan and returns the first error: an unnamed, duplicate or
/// unknown service, two routes with the same host and path prefix, weights that
/// sum to 0, a timeout of 0, a missing host, a malformed path prefix, or an
/// error of `validate_organisations`.
result<void> validate_plan(const traffic_plan& value);

}  // namespace trestlepost::config

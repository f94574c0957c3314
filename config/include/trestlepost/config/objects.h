// The configuration objects that operators write: regions, services, endpoints,
// placement rules and callers, and the functions that read them from JSON.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/config/selector.h"

namespace trestlepost::config {

enum class object_kind { region, service, endpoint, placement_rule, caller };

inline constexpr object_kind all_object_kinds[] = {
    object_kind::region, object_kind::service, object_kind::endpoint,
    object_kind::placement_rule, object_kind::caller};

/// "region", "service", ...
std::string_view to_string(object_kind kind);
/// Key of the kind's list in configuration files: "regions", "services", ...
std::string_view list_name(object_kind kind);
result<object_kind> object_kind_from(std::string_view name);

/// A region to which data may be confined. Its labels include region=NAME.
struct region {
  std::string name;
  label_map labels;
};

enum class service_kind { model, plain };

/// A service that callers send requests to. Its labels include service=NAME.
struct service {
  std::string name;
  label_map labels;
  service_kind kind = service_kind::plain;
  /// Whether a request may run more than once, unless it specifies this itself.
  bool repeatable = true;
  /// Whether status 503 from an endpoint guarantees that the request did not
  /// run.
  bool refusal_means_not_run = false;
  /// Timeout for the complete answer, unless the request sets one.
  std::chrono::milliseconds timeout{30000};
  /// How long the outcome of a request with an idempotency key is kept.
  std::chrono::milliseconds key_window{86400000};
};

/// One replica of a service, at an address.
struct endpoint {
  std::string name;
  label_map labels;
  std::string service;
  std::string region;
  std::string availability_zone;
  std::string address;   // "IP:PORT"
  unsigned slots = 8;    // requests that it processes concurrently
  bool drained = false;  // takes no new requests
};

/// Whether a region that may not serve a request may forward it.
enum class transit_policy { allow, refuse };

/// The regions that may serve the requests that match the rule.
struct placement_rule {
  std::string name;
  label_map labels;
  selector callers;
  selector services;
  selector requests;
  selector permit;  // over the labels of regions
  selector home;    // over the labels of regions; the first match by name
  /// Added to the routing cost of regions other than the home region.
  std::chrono::milliseconds away_penalty{0};
  transit_policy transit = transit_policy::allow;
};

/// A client that sends requests. Its labels include caller=NAME.
struct caller {
  std::string name;
  label_map labels;
  std::string token_sha256;  // lower-case hexadecimal
  /// Labels that a request of this caller may carry, with the allowed values.
  std::map<std::string, std::vector<std::string>> request_labels;
  /// Weight among the callers that are queued for the same service.
  unsigned share = 1;
};

// Each function reads one object and adds what is wrong with it to `problems`.
region read_region(const json& spec, problem_list& problems);
service read_service(const json& spec, problem_list& problems);
endpoint read_endpoint(const json& spec, problem_list& problems);
placement_rule read_placement_rule(const json& spec, problem_list& problems);
caller read_caller(const json& spec, problem_list& problems);

/// Whether `text` has the form "HOST:PORT" with a port in 1..65535. The host is
/// not checked.
bool is_address(std::string_view text);

}  // namespace trestlepost::config

// Which regions may serve a request: from configuration alone.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::routing {

/// The objects that decide a placement.
struct placement_inputs {
  const config::object_map<config::region>& regions;
  const config::object_map<config::placement_rule>& rules;
};

placement_inputs inputs_of(const config::object_store& store);

/// What one rule said, for `explain`.
struct rule_trace {
  std::string rule;
  bool matched = false;
  std::string reason;
  std::vector<std::string> permits;
};

struct placement {
  std::vector<std::string> permitted;  // in order of name
  std::string home;                    // one of `permitted`
  std::chrono::milliseconds away_penalty{0};
  config::transit_policy transit = config::transit_policy::allow;
  std::vector<rule_trace> trace;

  bool permits(const std::string& region) const;
};

/// The placement of a request. No matching rule, no common region, or a label
/// that the caller may not set or that would widen the regions is an error:
/// the request is then not run.
result<placement> place(const placement_inputs& inputs,
                        const config::caller& caller,
                        const config::service& service,
                        const config::label_map& request_labels);

/// What is known before the service is: the body that names it is not read.
/// True when some rule that could match refuses transit through `region`.
bool transit_may_be_refused(const placement_inputs& inputs,
                            const config::caller& caller,
                            const config::label_map& request_labels,
                            const std::string& region);

/// The regions that were the request's home earlier within the longest key
/// window, other than its present one.
std::vector<std::string> former_homes(const config::object_store& store,
                                      const config::caller& caller,
                                      const config::service& service,
                                      const config::label_map& request_labels,
                                      const std::string& present_home,
                                      wall_time now);

}  // namespace trestlepost::routing

// Determines which regions may serve a request, from the configuration alone.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "trestlepost/config/store.h"

namespace trestlepost::routing {

/// The configuration objects that determine a placement.
struct placement_inputs {
  const config::object_map<config::region>& regions;
  const config::object_map<config::placement_rule>& rules;
};

placement_inputs inputs_of(const config::object_store& store);

/// The result of one rule, for `explain`.
struct rule_trace {
  std::string rule;
  bool matched = false;
  std::string reason;
  std::vector<std::string> permits;
};

/// The regions that may serve a request, and the policies of the matching
/// rules.
struct placement {
  std::vector<std::string> permitted;  // sorted by name
  std::string home;                    // one of `permitted`
  /// Added to the cost of each region other than `home`.
  std::chrono::milliseconds away_penalty{0};
  config::transit_policy transit = config::transit_policy::allow;
  std::vector<rule_trace> trace;

  bool permits(const std::string& region) const;
};

/// Computes the placement of a request. Fails if no rule matches, if the
/// matching rules have no region in common, or if a label is not allowed for
/// the caller or would permit more regions. The request must then not be run.
result<placement> compute_placement(const placement_inputs& inputs,
                                    const config::caller& caller,
                                    const config::service& service,
                                    const config::label_map& request_labels);

/// Returns whether some rule that could match refuses transit through `region`.
/// Used before the body is read, when the service is not known yet.
bool transit_may_be_refused(const placement_inputs& inputs,
                            const config::caller& caller,
                            const config::label_map& request_labels,
                            const std::string& region);

/// Returns the regions, other than the present home, that were the home of the
/// request within the longest key window.
std::vector<std::string> previous_homes(const config::object_store& store,
                                        const config::caller& caller,
                                        const config::service& service,
                                        const config::label_map& request_labels,
                                        const std::string& present_home,
                                        wall_time now);

}  // namespace trestlepost::routing

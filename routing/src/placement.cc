// Applies the placement rules to a request and picks its home region.
#include "trestlepost/routing/placement.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::routing {
namespace {

using config::label_map;
using config::object_map;
using config::placement_rule;

std::vector<std::string> regions_matching(
    const object_map<config::region>& regions,
    const config::selector& conditions) {
  std::vector<std::string> out;
  for (const auto& [name, it] : regions) {
    if (config::matches(conditions, it->labels)) out.push_back(name);
  }
  return out;
}

std::string mismatch_reason(const placement_rule& rule,
                            const config::caller& caller,
                            const config::service& service,
                            const label_map& request_labels) {
  if (!config::matches(rule.callers, caller.labels)) {
    return "callers (" + describe(rule.callers) + ") does not match";
  }
  if (!config::matches(rule.services, service.labels)) {
    return "services (" + describe(rule.services) + ") does not match";
  }
  if (!config::matches(rule.requests, request_labels)) {
    return "requests (" + describe(rule.requests) + ") does not match";
  }
  return {};
}

std::vector<std::string> intersection(const std::vector<std::string>& a,
                                      const std::vector<std::string>& b) {
  std::vector<std::string> out;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::back_inserter(out));
  return out;
}

/// The result of applying all matching rules; `permitted` may be empty.
struct applied_rules {
  placement outcome;
  bool any_matched = false;
};

applied_rules apply_rules(const placement_inputs& inputs,
                          const config::caller& caller,
                          const config::service& service,
                          const label_map& request_labels) {
  applied_rules out;
  placement& merged = out.outcome;
  for (const auto& [name, rule] : inputs.rules) {
    rule_trace trace;
    trace.rule = name;
    trace.reason = mismatch_reason(*rule, caller, service, request_labels);
    trace.matched = trace.reason.empty();
    if (trace.matched) {
      trace.permits = regions_matching(inputs.regions, rule->permit);
      merged.permitted = out.any_matched
                             ? intersection(merged.permitted, trace.permits)
                             : trace.permits;
      out.any_matched = true;
      merged.away_penalty = std::max(merged.away_penalty, rule->away_penalty);
      if (rule->transit == config::transit_policy::refuse) {
        merged.transit = config::transit_policy::refuse;
      }
    }
    merged.trace.push_back(std::move(trace));
  }
  return out;
}

std::string home_of(const placement_inputs& inputs, const placement& merged,
                    const config::caller& caller,
                    const config::service& service) {
  for (const rule_trace& it : merged.trace) {
    if (!it.matched) continue;
    const placement_rule& rule = *inputs.rules.find(it.rule)->second;
    if (rule.home.empty()) continue;
    for (const std::string& name :
         regions_matching(inputs.regions, rule.home)) {
      if (merged.permits(name)) return name;
    }
  }
  const std::string key = caller.name + "/" + service.name;
  return *std::max_element(merged.permitted.begin(), merged.permitted.end(),
                           [&key](const std::string& a, const std::string& b) {
                             return rendezvous_score(key, a) <
                                    rendezvous_score(key, b);
                           });
}

result<void> check_labels(const config::caller& caller,
                          const label_map& request_labels) {
  for (const auto& [key, value] : request_labels) {
    const auto allowed = caller.request_labels.find(key);
    const bool ok = allowed != caller.request_labels.end() &&
                    std::find(allowed->second.begin(), allowed->second.end(),
                              value) != allowed->second.end();
    if (ok) continue;
    return fail(
        error_kind::label_not_allowed,
        "caller " + caller.name + " may not set the label " + key + "=" + value,
        "omit the label, or ask an operator to add it to the "
        "caller's request_labels");
  }
  return {};
}

}  // namespace

placement_inputs inputs_of(const config::object_store& store) {
  return {store.regions(), store.rules()};
}

bool placement::permits(const std::string& region) const {
  return std::binary_search(permitted.begin(), permitted.end(), region);
}

result<placement> compute_placement(const placement_inputs& inputs,
                                    const config::caller& caller,
                                    const config::service& service,
                                    const label_map& request_labels) {
  const result<void> allowed = check_labels(caller, request_labels);
  if (!allowed) return tl::make_unexpected(allowed.error());
  applied_rules applied = apply_rules(inputs, caller, service, request_labels);
  if (!applied.any_matched) {
    return fail(error_kind::no_matching_rule,
                "no placement rule matches caller " + caller.name +
                    " and service " + service.name,
                "add a placement_rule whose callers, services and requests "
                "select this request");
  }
  if (!request_labels.empty()) {
    // Labels may only narrow a placement: the same regions must be permitted
    // without them.
    const applied_rules unlabelled = apply_rules(inputs, caller, service, {});
    const std::vector<std::string> common =
        intersection(applied.outcome.permitted, unlabelled.outcome.permitted);
    if (common != applied.outcome.permitted) {
      return fail(error_kind::label_not_allowed,
                  "the request's labels would permit additional regions",
                  "omit the labels, or ask an operator to permit more "
                  "regions by a rule for the caller");
    }
  }
  if (applied.outcome.permitted.empty()) {
    return fail(error_kind::not_permitted,
                "the matching rules have no region in common",
                "run `trestlepost explain` and fix the rules that it lists");
  }
  applied.outcome.home = home_of(inputs, applied.outcome, caller, service);
  return std::move(applied.outcome);
}

bool transit_may_be_refused(const placement_inputs& inputs,
                            const config::caller& caller,
                            const label_map& request_labels,
                            const std::string& region) {
  for (const auto& [name, rule] : inputs.rules) {
    if (rule->transit != config::transit_policy::refuse) continue;
    if (!config::matches(rule->callers, caller.labels)) continue;
    if (!config::matches(rule->requests, request_labels)) continue;
    const std::vector<std::string> permits =
        regions_matching(inputs.regions, rule->permit);
    if (std::find(permits.begin(), permits.end(), region) == permits.end()) {
      return true;
    }
  }
  return false;
}

}  // namespace trestlepost::routing

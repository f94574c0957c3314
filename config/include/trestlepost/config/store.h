// The configuration in force on one node: objects by name with the revision
// that wrote each, the traffic plan, evacuated zones and held requests.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/objects.h"
#include "trestlepost/config/traffic_plan.h"

namespace trestlepost::config {

/// Numbers the changes of the configuration. The upper bits are an epoch: a
/// group that replaces a lost one begins a new epoch, so that its revisions are
/// higher than those that the lost group gave to watchers.
using revision_number = std::uint64_t;

constexpr std::uint64_t epoch_of(revision_number revision) {
  return revision >> 32;
}

/// The revision at which an epoch begins.
constexpr revision_number first_revision_of(std::uint64_t epoch) {
  return epoch << 32;
}

/// Writes one object, or removes it if `spec` is null.
struct edit {
  object_kind kind = object_kind::region;
  std::string name;
  json spec;
  /// The object's revision that the operator edited; 0 if there was no such
  /// object. If unset, the edit is not checked for conflicts.
  std::optional<revision_number> base;
};

json to_json(const edit& value);
result<edit> edit_from(const json& value);

/// An object's specification and the revision that wrote it. Kept as JSON text:
/// parsed JSON takes several times the memory, and there are tens of thousands
/// of objects.
struct stored_spec {
  std::string text;
  revision_number revision = 0;

  json spec() const;
};

/// A specification that a change has replaced. Kept for the longest key window,
/// so that the earlier home region of a request can still be determined.
struct replaced_spec {
  object_kind kind = object_kind::region;
  std::string name;
  std::string text;  // JSON; empty if the object didn't exist
  wall_time replaced_at;

  json spec() const;
};

/// Longest time for which the outcome of a request may be kept.
inline constexpr std::chrono::hours max_key_window{24};

/// A request that is no longer sent to any endpoint because it crashes them.
struct held_request {
  std::string service;
  /// Human-readable list of the endpoints that crashed while running it.
  std::string evidence;
  wall_time since;
  revision_number revision = 0;  // of the change that held it
};

/// Holds a request, or releases it. The request is identified by its
/// fingerprint, which reveals nothing about its content without the peers'
/// secret and so may be stored and sent outside the regions to which the
/// request is confined.
struct request_hold {
  std::string fingerprint;
  bool held = true;
  std::string service;
  std::string evidence;
  /// For a release, the revision of the hold that the operator saw. It is a
  /// conflict if the request has been held again since. If unset, this is not
  /// checked.
  std::optional<revision_number> base{};
};

json to_json(const request_hold& value);
request_hold request_hold_from(const json& value);

/// Maximum number of held requests. If it is exceeded, the oldest is released.
inline constexpr std::size_t max_held_requests = 4096;

template <typename T>
using object_map = std::map<std::string, std::shared_ptr<const T>, std::less<>>;

/// All configuration state at one revision.
class object_store {
 public:
  revision_number revision() const { return revision_; }

  /// The id of the group that the revision is from; empty if unknown, and in
  /// that group's own state.
  const std::string& group() const { return group_; }
  void set_group(std::string group) { group_ = std::move(group); }

  const object_map<region>& regions() const { return regions_; }
  const object_map<service>& services() const { return services_; }
  const object_map<endpoint>& endpoints() const { return endpoints_; }
  const object_map<placement_rule>& rules() const { return rules_; }
  const object_map<caller>& callers() const { return callers_; }
  const std::deque<replaced_spec>& replaced_specs() const {
    return replaced_specs_;
  }

  std::shared_ptr<const service> find_service(std::string_view name) const;
  std::shared_ptr<const caller> find_caller(std::string_view name) const;
  std::shared_ptr<const caller> find_caller_by_token(
      const std::string& sha256) const;

  /// The specification of an object, or null if it doesn't exist.
  const stored_spec* find_spec(object_kind kind, const std::string& name) const;
  const std::map<std::string, stored_spec>& specs(object_kind kind) const;

  /// Writes or removes one object without checking references between objects.
  /// If the specification is invalid, adds to `problems` and changes nothing.
  void put(const edit& change, revision_number revision,
           problem_list& problems);
  void set_revision(revision_number revision) { revision_ = revision; }

  /// Keeps the specification that `change` replaces, and drops those that are
  /// older than the longest key window. Call it before `put`.
  void record_replaced(const edit& change, wall_time at);

  /// Adds references to missing objects and rules that permit no region.
  void check(problem_list& problems) const;
  /// Selectors that match nothing; allowed, but reported to the operator.
  std::vector<std::string> warnings() const;

  /// The traffic plan in force, or null if there is none yet.
  const plan_ptr& plan() const { return plan_; }
  void set_plan(plan_ptr plan) { plan_ = std::move(plan); }

  /// Availability zones whose endpoints receive no requests.
  const std::set<std::string>& evacuated_zones() const { return evacuated_; }
  /// Applies the change at `revision`, which starts or ends an evacuation.
  void set_evacuated(const std::string& zone, bool evacuated,
                     revision_number revision);
  /// For each availability zone, the revision at which its last evacuation
  /// ended. It lets a watcher that missed both the start and the end of an
  /// evacuation detect that there was one.
  const std::map<std::string, revision_number>& ended_evacuations() const {
    return ended_evacuations_;
  }

  /// The revision at which the zone was last evacuated or put back into
  /// service; 0 if it never was.
  revision_number last_change_of(const std::string& zone) const;

  /// Marks the evacuations of `before` that are not in this configuration as
  /// ended. `before` is the configuration of a group that was lost, and this
  /// one the configuration that replaces it.
  void end_missing_evacuations(const object_store& before);

  /// Held requests by fingerprint.
  const std::map<std::string, held_request>& held_requests() const {
    return held_requests_;
  }
  /// Applies the change at `revision`, made at `at`, which holds or releases a
  /// request.
  void set_hold(const request_hold& it, wall_time at, revision_number revision);

  json to_json(plan_form form = plan_form::full) const;
  static result<object_store> from_json(const json& value);

 private:
  void check_endpoints(problem_list& problems) const;
  void check_rules(problem_list& problems) const;

  revision_number revision_ = 0;
  std::string group_;
  std::map<object_kind, std::map<std::string, stored_spec>> specs_;
  object_map<region> regions_;
  object_map<service> services_;
  object_map<endpoint> endpoints_;
  object_map<placement_rule> rules_;
  object_map<caller> callers_;
  std::unordered_map<std::string, std::string> caller_by_token_;
  std::deque<replaced_spec> replaced_specs_;
  plan_ptr plan_;
  std::set<std::string> evacuated_;
  std::map<std::string, revision_number> ended_evacuations_;  // by zone
  std::map<std::string, revision_number> zone_changes_;       // by zone
  std::map<std::string, held_request> held_requests_;         // by fingerprint
};

/// The names of the regions whose labels match, sorted.
std::vector<std::string> matching_regions(const object_store& store,
                                          const selector& conditions);

}  // namespace trestlepost::config

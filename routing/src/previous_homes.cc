// Finds earlier home regions of a request by reverting configuration changes
// one by one.
#include <algorithm>
#include <memory>
#include <optional>

#include "trestlepost/routing/placement.h"

namespace trestlepost::routing {
namespace {

/// The configuration objects that concern a request, as of an earlier time.
class earlier_objects {
 public:
  earlier_objects(const config::object_store& store,
                  const config::caller& caller, const config::service& service)
      : regions_(store.regions()),
        rules_(store.rules()),
        caller_(caller),
        service_(service) {}

  /// Reverts one replacement; returns false if it does not concern the request.
  bool undo(const config::replaced_spec& it) {
    const bool existed = !it.text.empty();
    const json spec = it.spec();
    problem_list problems;
    switch (it.kind) {
      case config::object_kind::region:
        regions_.erase(it.name);
        if (existed) {
          regions_[it.name] = std::make_shared<const config::region>(
              config::read_region(spec, problems));
        }
        return true;
      case config::object_kind::placement_rule:
        rules_.erase(it.name);
        if (existed) {
          rules_[it.name] = std::make_shared<const config::placement_rule>(
              config::read_placement_rule(spec, problems));
        }
        return true;
      case config::object_kind::service:
        if (it.name != service_.name) return false;
        exists_ = exists_ && existed;
        if (existed) service_ = config::read_service(spec, problems);
        return true;
      case config::object_kind::caller:
        if (it.name != caller_.name) return false;
        exists_ = exists_ && existed;
        if (existed) caller_ = config::read_caller(spec, problems);
        return true;
      case config::object_kind::endpoint:
        break;
    }
    return false;
  }

  std::optional<std::string> home(const config::label_map& labels) const {
    if (!exists_) return std::nullopt;
    const result<placement> placed =
        compute_placement({regions_, rules_}, caller_, service_, labels);
    if (!placed) return std::nullopt;
    return placed->home;
  }

 private:
  config::object_map<config::region> regions_;
  config::object_map<config::placement_rule> rules_;
  config::caller caller_;
  config::service service_;
  bool exists_ = true;
};

}  // namespace

std::vector<std::string> previous_homes(const config::object_store& store,
                                        const config::caller& caller,
                                        const config::service& service,
                                        const config::label_map& request_labels,
                                        const std::string& present_home,
                                        wall_time now) {
  std::vector<std::string> out;
  const std::deque<config::replaced_spec>& replaced = store.replaced_specs();
  earlier_objects earlier(store, caller, service);
  bool changed = false;
  for (auto it = replaced.rbegin(); it != replaced.rend(); ++it) {
    if (it->replaced_at + service.key_window < now) break;
    changed = earlier.undo(*it) || changed;
    const auto older = std::next(it);
    const bool change_ends =
        older == replaced.rend() || older->replaced_at != it->replaced_at;
    if (!changed || !change_ends) continue;
    changed = false;
    const std::optional<std::string> home = earlier.home(request_labels);
    if (!home || *home == present_home) continue;
    if (std::find(out.begin(), out.end(), *home) == out.end()) {
      out.push_back(*home);
    }
  }
  return out;
}

}  // namespace trestlepost::routing

// Updates that bring a watcher's copy of the configuration up to date, and how
// they are applied.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "trestlepost/config/change.h"
#include "trestlepost/config/plan_delta.h"

namespace trestlepost::config {

/// One accepted change, as watchers receive it.
struct applied_change {
  revision_number revision = 0;
  wall_time at;
  std::vector<edit> edits;
  /// The difference from the plan of the previous revision; null if the plan
  /// doesn't change.
  std::shared_ptr<const plan_delta> plan;
  std::optional<zone_evacuation> evacuation;
  std::optional<request_hold> hold;

  /// The number of objects and routes that it changes.
  std::size_t size() const;
};

/// Updates a watcher from one revision to the newest one.
struct watch_update {
  revision_number to = 0;
  std::vector<applied_change> changes;
  std::optional<json> whole;  // set if the watcher is too far behind
};

json to_json(const applied_change& value);
result<applied_change> applied_change_from(const json& value);
json to_json(const watch_update& value);
result<watch_update> watch_update_from(const json& value);

/// Whether `update` (JSON) contains changes or a whole configuration, and not
/// only the number of the newest revision.
bool has_content(const json& update);

/// Applies one change to `store`, which must be at the previous revision.
void apply_change(object_store& store, const applied_change& it,
                  problem_list& problems);

/// Applies `update` to `store`. Changes that `store` already has are skipped.
/// Fails with `configuration_behind` if revisions are missing in between; the
/// changes before the gap have then been applied.
result<void> apply_update(object_store& store, const watch_update& update);

}  // namespace trestlepost::config

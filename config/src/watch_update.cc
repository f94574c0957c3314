#include "trestlepost/config/watch_update.h"

#include <utility>

namespace trestlepost::config {

std::size_t applied_change::size() const {
  return edits.size() + (plan ? plan->size() : 0);
}

bool has_content(const json& update) {
  return member_of(update, "whole").isObject() ||
         !member_of(update, "changes").empty();
}

json to_json(const applied_change& value) {
  json out;
  out["revision"] = json(Json::UInt64(value.revision));
  out["at"] = json(Json::Int64(to_unix_ms(value.at)));
  json edits(Json::arrayValue);
  for (const edit& it : value.edits) edits.append(config::to_json(it));
  out["edits"] = std::move(edits);
  if (value.plan) out["plan_delta"] = config::to_json(*value.plan);
  if (value.evacuation) {
    out["evacuation"] = config::to_json(*value.evacuation);
  }
  if (value.hold) out["hold"] = config::to_json(*value.hold);
  return out;
}

result<applied_change> applied_change_from(const json& value) {
  applied_change out;
  out.revision = number_of(value, "revision");
  out.at = from_unix_ms(static_cast<std::int64_t>(number_of(value, "at")));
  for (const json& it : member_of(value, "edits")) {
    result<edit> one = edit_from(it);
    if (!one) return tl::make_unexpected(one.error());
    out.edits.push_back(std::move(*one));
  }
  const json& plan = member_of(value, "plan_delta");
  if (plan.isObject()) {
    result<plan_delta> read = plan_delta_from(plan);
    if (!read) return tl::make_unexpected(read.error());
    out.plan = std::make_shared<const plan_delta>(std::move(*read));
  }
  const json& evacuation = member_of(value, "evacuation");
  if (evacuation.isObject()) out.evacuation = zone_evacuation_from(evacuation);
  const json& hold = member_of(value, "hold");
  if (hold.isObject()) out.hold = request_hold_from(hold);
  return out;
}

void apply_change(object_store& store, const applied_change& it,
                  problem_list& problems) {
  for (const edit& one : it.edits) {
    store.record_replaced(one, it.at);
    store.put(one, it.revision, problems);
  }
  if (it.plan) {
    store.set_plan(std::make_shared<const traffic_plan>(
        apply_plan_delta(store.plan().get(), *it.plan)));
  }
  if (it.evacuation) {
    store.set_evacuated(it.evacuation->availability_zone,
                        it.evacuation->evacuated, it.revision);
  }
  if (it.hold) store.set_hold(*it.hold, it.at, it.revision);
  store.set_revision(it.revision);
}

json to_json(const watch_update& value) {
  json out;
  out["to"] = json(Json::UInt64(value.to));
  json changes(Json::arrayValue);
  for (const applied_change& it : value.changes) changes.append(to_json(it));
  out["changes"] = std::move(changes);
  if (value.whole) out["whole"] = *value.whole;
  return out;
}

result<watch_update> watch_update_from(const json& value) {
  watch_update out;
  out.to = number_of(value, "to");
  for (const json& it : member_of(value, "changes")) {
    result<applied_change> one = applied_change_from(it);
    if (!one) return tl::make_unexpected(one.error());
    out.changes.push_back(std::move(*one));
  }
  const json& whole = member_of(value, "whole");
  if (whole.isObject()) out.whole = whole;
  return out;
}

result<void> apply_update(object_store& store, const watch_update& update) {
  if (update.to <= store.revision()) return {};
  if (update.whole) {
    result<object_store> loaded = object_store::from_json(*update.whole);
    if (!loaded) return tl::make_unexpected(loaded.error());
    if (loaded->revision() <= store.revision()) return {};
    store = std::move(*loaded);
    return {};
  }
  problem_list problems;
  for (const applied_change& it : update.changes) {
    if (it.revision <= store.revision()) continue;
    if (it.revision != store.revision() + 1) {
      return fail(error_kind::configuration_behind,
                  "the update skips revisions after revision " +
                      std::to_string(store.revision()),
                  "poll again from that revision");
    }
    apply_change(store, it, problems);
  }
  return {};
}

}  // namespace trestlepost::config

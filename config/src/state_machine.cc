#include "trestlepost/config/state_machine.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::config {
namespace {

change_result rejected(change_status status, revision_number revision,
                       std::string message, std::string remedy) {
  return {status, revision, std::move(message), std::move(remedy), {}};
}

}  // namespace

config_state_machine::config_state_machine(state_limits limits)
    : limits_(limits) {}

void config_state_machine::apply(const consensus::entry& committed) {
  const result<change> requested = decode_change(committed.data);
  if (!requested) {
    log_event(log_level::error, "change-unreadable",
              {{"detail", requested.error().message}});
    return;
  }
  const auto known = results_by_id_.find(requested->id);
  if (known != results_by_id_.end() && !limits_.forget_change_ids) {
    const change_result first = *first_result(*requested);
    if (first.status == change_status::mismatch) {
      add_audit_record(*requested, first, json(Json::arrayValue));
    }
    return;
  }
  json changed(Json::arrayValue);
  const change_result outcome = decide(*requested, changed);
  remember_result(*requested, outcome);
  add_audit_record(*requested, outcome, changed);
}

change_result config_state_machine::decide(const change& requested,
                                           json& changed) {
  std::optional<change_result> stale = find_stale_revision(requested);
  if (stale) return std::move(*stale);
  if (requested.founding) return decide_founding(requested);
  if (requested.plan) return decide_plan(requested, changed);
  if (requested.edited_plan) return decide_edited_plan(requested, changed);
  if (requested.evacuation) return decide_evacuation(requested, changed);
  if (requested.hold) return decide_hold(requested, changed);
  if (requested.epoch) return decide_epoch(requested, changed);
  std::optional<change_result> conflict = find_conflicting_edit(requested);
  if (conflict) return std::move(*conflict);
  if (requested.edits.empty()) {
    return rejected(change_status::invalid, store_.revision(),
                    "the change edits nothing", "write at least one object");
  }
  return apply_edits(requested, changed);
}

change_result config_state_machine::decide_founding(const change& requested) {
  const bool added =
      ledgers_.emplace(requested.founding->region, *requested.founding).second;
  if (added) {
    return {change_status::accepted,
            store_.revision(),
            "the ledger of " + requested.founding->region + " is founded",
            "",
            {}};
  }
  return rejected(
      change_status::conflict, store_.revision(),
      "region " + requested.founding->region + " has a ledger already",
      "use the one that exists");
}

change_result config_state_machine::decide_plan(const change& requested,
                                                json& changed) {
  const result<void> valid = validate_plan(*requested.plan);
  if (!valid) {
    return rejected(change_status::invalid, store_.revision(),
                    valid.error().message, valid.error().remedy);
  }
  if (requested.plan->number <= number_in_force()) return plan_unchanged();
  return install_plan(requested, requested.plan,
                      make_plan_delta(store_.plan().get(), *requested.plan),
                      changed);
}

change_result config_state_machine::decide_edited_plan(const change& requested,
                                                       json& changed) {
  const plan_edit& edit = *requested.edited_plan;
  if (edit.delta.number <= number_in_force()) return plan_unchanged();
  if (edit.base != number_in_force()) {
    return rejected(change_status::conflict, store_.revision(),
                    "plan " + std::to_string(number_in_force()) +
                        " holds, not plan " + std::to_string(edit.base) +
                        ", from which plan " +
                        std::to_string(edit.delta.number) + " was made",
                    "make the change anew from the plan that holds");
  }
  result<traffic_plan> next = apply_plan_edit(store_.plan().get(), edit);
  const result<void> valid =
      next ? validate_plan(*next) : tl::make_unexpected(next.error());
  if (!valid) {
    return rejected(change_status::invalid, store_.revision(),
                    valid.error().message, valid.error().remedy);
  }
  return install_plan(requested,
                      std::make_shared<const traffic_plan>(std::move(*next)),
                      edit.delta, changed);
}

plan_number config_state_machine::number_in_force() const {
  return store_.plan() ? store_.plan()->number : 0;
}

change_result config_state_machine::plan_unchanged() const {
  return {
      change_status::accepted,
      store_.revision(),
      "plan " + std::to_string(number_in_force()) + " holds; nothing changed",
      "",
      {}};
}

change_result config_state_machine::install_plan(const change& requested,
                                                 plan_ptr next,
                                                 plan_delta delta,
                                                 json& changed) {
  const std::string number = std::to_string(next->number);
  json one;
  one["kind"] = "traffic_plan";
  one["name"] = number;
  changed.append(std::move(one));
  store_.set_plan(std::move(next));
  store_.set_revision(store_.revision() + 1);
  history_.push_back({store_.revision(),
                      requested.at,
                      {},
                      std::make_shared<const plan_delta>(std::move(delta)),
                      {},
                      {}});
  trim_history();
  return {change_status::accepted,
          store_.revision(),
          "plan " + number + " is in the log",
          "",
          {}};
}

change_result config_state_machine::decide_evacuation(const change& requested,
                                                      json& changed) {
  const std::string& zone = requested.evacuation->availability_zone;
  const bool evacuated = requested.evacuation->evacuated;
  const std::string state = evacuated ? "evacuated" : "in service";
  if (store_.evacuated_zones().contains(zone) == evacuated) {
    return {change_status::accepted,
            store_.revision(),
            "zone " + zone + " is " + state + " already",
            "",
            {}};
  }
  const revision_number last_change = store_.last_change_of(zone);
  const std::optional<revision_number>& base = requested.evacuation->base;
  if (base && last_change > *base) {
    return rejected(change_status::conflict, store_.revision(),
                    "zone " + zone + " was changed at revision " +
                        std::to_string(last_change) +
                        ", which may be after the order was given",
                    "send the order again if it still holds");
  }
  json one;
  one["kind"] = "availability_zone";
  one["name"] = zone;
  one["after"] = state;
  changed.append(std::move(one));
  const zone_evacuation applied{zone, evacuated, std::nullopt};
  apply_accepted(
      {store_.revision() + 1, requested.at, {}, nullptr, applied, {}});
  return {change_status::accepted,
          store_.revision(),
          "zone " + zone + " is " + state,
          "",
          {}};
}

change_result config_state_machine::decide_hold(const change& requested,
                                                json& changed) {
  request_hold hold = *requested.hold;
  const std::optional<revision_number> base =
      std::exchange(hold.base, std::nullopt);
  const std::string state = hold.held ? "held" : "not held";
  if (store_.held_requests().contains(hold.fingerprint) == hold.held) {
    return {change_status::accepted,
            store_.revision(),
            "request " + hold.fingerprint + " is " + state + " already",
            "",
            {}};
  }
  if (!hold.held && base) {
    const revision_number held_at =
        store_.held_requests().at(hold.fingerprint).revision;
    if (held_at > *base) {
      return rejected(change_status::conflict, store_.revision(),
                      "request " + hold.fingerprint +
                          " was held again at revision " +
                          std::to_string(held_at),
                      "look at its new evidence with `trestlepost held`, then "
                      "release it again");
    }
  }
  json one;
  one["kind"] = "request";
  one["name"] = hold.fingerprint;
  one["after"] = config::to_json(hold);
  changed.append(std::move(one));
  apply_accepted({store_.revision() + 1, requested.at, {}, nullptr, {}, hold});
  return {change_status::accepted,
          store_.revision(),
          "request " + hold.fingerprint + " is " + state,
          "",
          {}};
}

change_result config_state_machine::decide_epoch(const change& requested,
                                                 json& changed) {
  const std::string epoch = std::to_string(*requested.epoch);
  if (epoch_of(store_.revision()) >= *requested.epoch) {
    return {change_status::accepted,
            store_.revision(),
            "epoch " + epoch + " has been reached",
            "",
            {}};
  }
  json one;
  one["kind"] = "epoch";
  one["name"] = epoch;
  changed.append(std::move(one));
  store_.set_revision(first_revision_of(*requested.epoch));
  // Watchers with an earlier revision may have it from another group, so none
  // of them can be sent changes only.
  history_.clear();
  return {change_status::accepted,
          store_.revision(),
          "revisions continue in epoch " + epoch,
          "",
          {}};
}

void config_state_machine::apply_accepted(applied_change accepted) {
  problem_list problems;
  apply_change(store_, accepted, problems);
  history_.push_back(std::move(accepted));
  trim_history();
}

std::string config_state_machine::last_writer_of(const edit& one) const {
  for (auto it = audit_.rbegin(); it != audit_.rend(); ++it) {
    if (it->outcome.status != change_status::accepted) continue;
    const json objects = it->objects();
    for (const json& object : objects) {
      if (text_of(object, "kind") == to_string(one.kind) &&
          text_of(object, "name") == one.name) {
        return it->operator_name + " with change " + it->change_id;
      }
    }
  }
  return "an earlier change";
}

std::optional<change_result> config_state_machine::find_stale_revision(
    const change& requested) const {
  const revision_number now = store_.revision();
  if (!requested.if_revision || *requested.if_revision == now) {
    return std::nullopt;
  }
  const std::string winner =
      audit_.empty() ? "" : " by " + audit_.back().operator_name;
  return rejected(change_status::conflict, now,
                  "the configuration is at revision " + std::to_string(now) +
                      winner + ", not at " +
                      std::to_string(*requested.if_revision),
                  "read it again with `trestlepost get`, then apply with "
                  "--if-revision " +
                      std::to_string(now));
}

std::optional<change_result> config_state_machine::find_conflicting_edit(
    const change& requested) const {
  const revision_number now = store_.revision();
  for (const edit& it : requested.edits) {
    if (!it.base) continue;
    const stored_spec* stored = store_.find_spec(it.kind, it.name);
    const revision_number current = stored == nullptr ? 0 : stored->revision;
    if (current == *it.base) continue;
    const std::string what = std::string(to_string(it.kind)) + " " + it.name;
    return rejected(change_status::conflict, now,
                    what + " was written by " + last_writer_of(it) +
                        " at revision " + std::to_string(current) +
                        ", after the revision " + std::to_string(*it.base) +
                        " that this change was made from",
                    "read it again with `trestlepost get " + what +
                        "`, make the change anew, and apply it under a new "
                        "--change-id");
  }
  return std::nullopt;
}

change_result config_state_machine::apply_edits(const change& requested,
                                                json& changed) {
  const revision_number next = store_.revision() + 1;
  problem_list problems;
  std::vector<edit> previous;
  for (const edit& it : requested.edits) {
    const stored_spec* old = store_.find_spec(it.kind, it.name);
    const json before = old == nullptr ? json() : old->spec();
    const revision_number base = old == nullptr ? 0 : old->revision;
    if (old == nullptr && it.spec.isNull()) {
      problems.add(json(), it.name, "there is no such object to remove",
                   "check the name with `trestlepost get`");
      continue;
    }
    previous.push_back({it.kind, it.name, before, base});
    json one;
    one["kind"] = std::string(to_string(it.kind));
    one["name"] = it.name;
    one["before"] = before;
    one["after"] = it.spec;
    changed.append(std::move(one));
    store_.put(it, next, problems);
  }
  if (problems.empty()) store_.check(problems);
  roll_back(previous);
  if (!problems.empty()) {
    return rejected(change_status::invalid, store_.revision(),
                    problems.to_text("change"),
                    "mend the objects named and apply again under a new "
                    "--change-id");
  }
  applied_change accepted{next, requested.at, requested.edits, nullptr, {}, {}};
  for (edit& it : accepted.edits) it.base.reset();
  apply_accepted(std::move(accepted));
  return {change_status::accepted, next,
          "in the log at revision " + std::to_string(next), "",
          store_.warnings()};
}

void config_state_machine::trim_history() {
  std::size_t size = 0;
  for (const applied_change& it : history_) size += it.size();
  // A watcher that is further behind is sent the whole configuration.
  while (history_.size() > limits_.history ||
         (size > limits_.history_items && history_.size() > 1)) {
    size -= history_.front().size();
    history_.pop_front();
  }
}

void config_state_machine::roll_back(const std::vector<edit>& previous) {
  problem_list problems;
  for (auto it = previous.rbegin(); it != previous.rend(); ++it) {
    store_.put(*it, it->base.value_or(0), problems);
  }
}

void config_state_machine::remember_result(const change& requested,
                                           const change_result& outcome) {
  results_by_id_[requested.id] = {change_digest(requested), outcome};
  result_order_.push_back(requested.id);
  if (result_order_.size() <= limits_.change_ids) return;
  results_by_id_.erase(result_order_.front());
  result_order_.pop_front();
}

void config_state_machine::add_audit_record(const change& requested,
                                            const change_result& outcome,
                                            const json& changed) {
  audit_.push_back({next_sequence_++, requested.at, requested.operator_name,
                    requested.id, outcome, to_text(changed)});
  if (audit_.size() > limits_.audit_records) audit_.pop_front();
  if (on_decided) on_decided(audit_.back());
}

std::optional<change_result> config_state_machine::result_of(
    const std::string& change_id) const {
  const auto it = results_by_id_.find(change_id);
  if (it == results_by_id_.end()) return std::nullopt;
  return it->second.outcome;
}

std::optional<change_result> config_state_machine::first_result(
    const change& requested) const {
  const auto it = results_by_id_.find(requested.id);
  if (it == results_by_id_.end()) return std::nullopt;
  if (it->second.digest == change_digest(requested)) return it->second.outcome;
  return rejected(change_status::mismatch, store_.revision(),
                  "change id " + requested.id + " was used for another change",
                  "use a new --change-id for a new change");
}

watch_update config_state_machine::update_since(revision_number from) const {
  watch_update out;
  out.to = store_.revision();
  if (from >= out.to) return out;
  const bool covered =
      !history_.empty() && history_.front().revision <= from + 1;
  std::size_t routes = 0;
  for (const applied_change& it : history_) {
    const bool counts = it.revision > from && it.plan;
    if (counts) routes += it.plan->size();
  }
  // Many small changes can contain more routes in total than the plan has; then
  // the whole configuration is smaller.
  const bool shorter = !store_.plan() || routes <= store_.plan()->routes.size();
  if (!covered || !shorter) {
    out.whole = store_.to_json(plan_form::without_document);
    return out;
  }
  for (const applied_change& it : history_) {
    if (it.revision > from) out.changes.push_back(it);
  }
  return out;
}

}  // namespace trestlepost::config

// The replicated configuration: accepts or rejects each committed change, and
// keeps the results by change id, the audit trail, and the history from which
// watchers are updated.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "trestlepost/config/change.h"
#include "trestlepost/config/watch_update.h"
#include "trestlepost/consensus/group_host.h"

namespace trestlepost::config {

/// Limits on the number of entries that the state machine keeps.
struct state_limits {
  std::size_t change_ids = 10'000;
  std::size_t audit_records = 5'000;
  std::size_t history = 500;
  /// Total number of objects and routes in the changes of the history.
  std::size_t history_items = 2'000;
  /// Fault injection for tests: applies a change again when it is resent.
  bool forget_change_ids = false;
};

/// Applies the configuration group's log. Every replica reaches the same
/// decisions.
class config_state_machine final : public consensus::state_machine {
 public:
  explicit config_state_machine(state_limits limits = {});

  void apply(const consensus::entry& committed) override;
  std::string save() const override;
  result<void> load(std::string_view data) override;

  const object_store& store() const { return store_; }
  /// The result of the change with this id, if it is still remembered.
  std::optional<change_result> result_of(const std::string& change_id) const;
  /// The result of the first submission of this change, a mismatch if its id
  /// was used for another change, or nullopt if the id is new.
  std::optional<change_result> first_result(const change& requested) const;
  const std::deque<audit_record>& audit() const { return audit_; }
  const std::map<std::string, ledger_founding>& ledgers() const {
    return ledgers_;
  }
  /// The update from revision `from` to the current one: the changes, or the
  /// whole configuration if the history doesn't go back that far or if the
  /// changes contain more routes than the plan has.
  watch_update update_since(revision_number from) const;

  /// Called with the audit record of each accepted or rejected change.
  std::function<void(const audit_record&)> on_decided;

 private:
  /// Reads a snapshot into this machine, which must be new.
  result<void> read_snapshot(std::string_view data);
  struct decided_change {
    std::string digest;
    change_result outcome;
  };

  // These decide one kind of change each, apply it if it is accepted, and
  // append what it changes to `changed` for the audit trail.
  change_result decide(const change& requested, json& changed);
  change_result decide_founding(const change& requested);
  change_result decide_plan(const change& requested, json& changed);
  change_result decide_edited_plan(const change& requested, json& changed);
  /// The number of the plan in force; 0 if there is none.
  plan_number number_in_force() const;
  change_result plan_unchanged() const;
  /// Puts `next` in force; `delta` is its difference from the current plan.
  change_result install_plan(const change& requested, plan_ptr next,
                             plan_delta delta, json& changed);
  change_result decide_evacuation(const change& requested, json& changed);
  change_result decide_hold(const change& requested, json& changed);
  change_result decide_epoch(const change& requested, json& changed);
  void apply_accepted(applied_change accepted);
  std::optional<change_result> find_stale_revision(
      const change& requested) const;
  std::optional<change_result> find_conflicting_edit(
      const change& requested) const;
  std::string last_writer_of(const edit& one) const;
  change_result apply_edits(const change& requested, json& changed);
  void trim_history();
  void roll_back(const std::vector<edit>& previous);
  void remember_result(const change& requested, const change_result& outcome);
  void add_audit_record(const change& requested, const change_result& outcome,
                        const json& changed);

  state_limits limits_;
  object_store store_;
  std::unordered_map<std::string, decided_change> results_by_id_;
  std::deque<std::string> result_order_;
  std::deque<audit_record> audit_;
  std::deque<applied_change> history_;
  std::map<std::string, ledger_founding> ledgers_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace trestlepost::config

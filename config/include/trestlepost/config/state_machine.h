// The replicated configuration: decides each committed change, keeps the
// table of change ids, the audit trail, and the history that watchers read.
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

/// Bounds of what the state keeps.
struct state_limits {
  std::size_t change_ids = 10'000;
  std::size_t audit_records = 5'000;
  std::size_t history = 500;
  /// Objects and routes that the changes of the history may name together.
  std::size_t history_edits = 2'000;
  /// A mechanism left out on purpose, for tests that show what catches it.
  bool forget_change_ids = false;
};

class config_state_machine final : public consensus::state_machine {
 public:
  explicit config_state_machine(state_limits limits = {});

  void apply(const consensus::entry& committed) override;
  std::string save() const override;
  void load(std::string_view data) override;

  const object_store& store() const { return store_; }
  std::optional<change_result> result_of(const std::string& change_id) const;
  /// The first result of this change, a mismatch when its id was used for
  /// another change, or nothing when the id is new.
  std::optional<change_result> known_result(const change& asked) const;
  const std::deque<audit_record>& audit() const { return audit_; }
  const std::map<std::string, ledger_founding>& ledgers() const {
    return ledgers_;
  }
  watch_update update_since(revision_number from) const;

  /// Called after each decision.
  std::function<void(const audit_record&)> on_decided;

 private:
  struct known_change {
    std::string digest;
    change_result outcome;
  };

  change_result decide(const change& asked, json& touched);
  change_result decide_founding(const change& asked);
  change_result decide_plan(const change& asked, json& touched);
  change_result decide_edited_plan(const change& asked, json& touched);
  /// Number of the plan that holds; 0 when there is none.
  plan_number held_number() const;
  change_result plan_stays() const;
  /// Puts `next` in force, which `delta` leads to.
  change_result take_plan(const change& asked, plan_ptr next, plan_delta delta,
                          json& touched);
  change_result decide_evacuation(const change& asked, json& touched);
  change_result decide_hold(const change& asked, json& touched);
  void add_to_history(applied_change accepted);
  std::optional<change_result> find_conflict(const change& asked) const;
  std::string last_writer_of(const edit& one) const;
  change_result accept(const change& asked, json& touched);
  void trim_history();
  void roll_back(const std::vector<edit>& previous);
  void remember(const change& asked, const change_result& outcome);
  void record(const change& asked, const change_result& outcome,
              const json& touched);

  state_limits limits_;
  object_store store_;
  std::unordered_map<std::string, known_change> known_;
  std::deque<std::string> known_order_;
  std::deque<audit_record> audit_;
  std::deque<applied_change> history_;
  std::map<std::string, ledger_founding> ledgers_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace trestlepost::config

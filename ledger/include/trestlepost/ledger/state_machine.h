// The replicated ledger of one region, which grants the right to run requests
// that must not run twice.
#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>

#include "trestlepost/consensus/group_host.h"
#include "trestlepost/ledger/record.h"

namespace trestlepost::ledger {

struct ledger_limits {
  /// Maximum number of records. Further claims and fences are refused, since a
  /// request must not run without a record.
  std::size_t records = 1'000'000;
  // Fault injection: each flag disables a mechanism, for tests that show that
  // the checks detect its absence.
  bool grant_after_unknown = false;
  bool skip_digest_check = false;
};

class ledger_state_machine final : public consensus::state_machine {
 public:
  explicit ledger_state_machine(ledger_limits limits = {}) : limits_(limits) {}

  void apply(const consensus::entry& committed) override;
  std::string save() const override;
  result<void> load(std::string_view data) override;

  std::size_t size() const { return records_.size(); }
  const record* find(const std::string& key) const;

  /// Called on every replica for each decided claim or fence.
  std::function<void(const claim_decision&, const std::string& key)> on_decided;
  /// Called when an outcome is recorded.
  std::function<void(const std::string& attempt)> on_finished;

 private:
  claim_decision claim(const claim_command& command);
  claim_decision decide_existing(const claim_command& command, record& found);
  claim_decision fence(const fence_command& command);
  bool is_full() const { return records_.size() >= limits_.records; }
  void finish(const finish_command& command);
  void expire(wall_time now);
  void set_expiry(const std::string& key, record& it, wall_time until);
  void erase(const std::string& key);

  ledger_limits limits_;
  std::map<std::string, record> records_;
  std::set<std::pair<wall_time, std::string>> by_expiry_;
};

}  // namespace trestlepost::ledger

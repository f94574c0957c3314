// Proposes claims and outcomes again until they are applied.
#include "trestlepost/ledger/claim_table.h"

#include <utility>
#include <vector>

namespace trestlepost::ledger {
namespace {

// Time for which granted attempts are kept, to ignore a claim that is in the
// log twice.
constexpr std::chrono::minutes granted_lifetime{10};

}  // namespace

void claim_table::add(const std::string& attempt, json command,
                      monotonic_time now, decision_handler decided) {
  pending_claim& added = claims_[attempt];
  added.command = std::move(command);
  added.decided = std::move(decided);
  added.sent_at = now;
  // A copy, since the command may be decided and erased before `propose`
  // returns.
  const json sent = added.command;
  proposer_.propose(sent);
}

void claim_table::claim(const claim_command& command, monotonic_time now,
                        decision_handler decided) {
  add(command.attempt, to_json(command), now, std::move(decided));
}

void claim_table::fence(const fence_command& command, monotonic_time now,
                        decision_handler decided) {
  add(command.attempt, to_json(command), now, std::move(decided));
}

void claim_table::abandon(const std::string& attempt) {
  claims_.erase(attempt);
}

void claim_table::finish(const finish_command& report, monotonic_time now) {
  json command = to_json(report);
  outcomes_[report.attempt] = {command, now};
  proposer_.propose(command);
}

void claim_table::on_decided(const claim_decision& decided,
                             const std::string& key, monotonic_time now) {
  const auto it = claims_.find(decided.attempt);
  if (it != claims_.end()) {
    const decision_handler call = std::move(it->second.decided);
    claims_.erase(it);
    if (decided.verdict == claim_verdict::granted) {
      granted_[decided.attempt] = now;
    }
    call(decided);
    return;
  }
  const bool abandoned = decided.verdict == claim_verdict::granted &&
                         !own_prefix_.empty() &&
                         decided.attempt.starts_with(own_prefix_) &&
                         !granted_.contains(decided.attempt) &&
                         !outcomes_.contains(decided.attempt);
  if (abandoned) {
    finish({key, decided.attempt, run_outcome::not_run, {}}, now);
  }
}

void claim_table::on_finished(const std::string& attempt) {
  outcomes_.erase(attempt);
}

void claim_table::tick(monotonic_time now) {
  std::vector<json> due;
  for (auto& [attempt, it] : claims_) {
    if (now < it.sent_at + resend_after_) continue;
    it.sent_at = now;
    due.push_back(it.command);
  }
  for (auto& [attempt, it] : outcomes_) {
    if (now < it.sent_at + resend_after_) continue;
    it.sent_at = now;
    due.push_back(it.command);
  }
  for (const json& it : due) proposer_.propose(it);
  std::erase_if(granted_, [now](const auto& it) {
    return it.second + granted_lifetime < now;
  });
}

}  // namespace trestlepost::ledger

// Applies claims, outcomes and fences to the records of the ledger.
#include "trestlepost/ledger/state_machine.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::ledger {
namespace {

claim_decision decision(const std::string& attempt, claim_verdict verdict) {
  claim_decision out;
  out.attempt = attempt;
  out.verdict = verdict;
  return out;
}

/// Returns the decision on a command that needs a record more than the ledger
/// may hold.
claim_decision full_decision(const std::string& attempt) {
  claim_decision out = decision(attempt, claim_verdict::in_progress);
  out.retry_after = std::chrono::minutes(1);
  return out;
}

std::chrono::milliseconds at_least_one_ms(wall_time::duration n) {
  return std::max(std::chrono::milliseconds(1),
                  std::chrono::duration_cast<std::chrono::milliseconds>(n));
}

}  // namespace

const record* ledger_state_machine::find(const std::string& key) const {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

void ledger_state_machine::apply(const consensus::entry& committed) {
  const result<json> parsed = parse_json(committed.data);
  const std::string command = parsed ? text_of(*parsed, "command") : "";
  std::optional<claim_decision> decided;
  if (command == "finish") {
    finish(finish_from(*parsed));
  } else if (command == "fence") {
    decided = fence(fence_from(*parsed));
  } else if (command == "claim") {
    decided = claim(claim_from(*parsed));
  } else {
    log_event(
        log_level::error, "ledger-command-unreadable",
        {{"index", std::to_string(committed.index)}, {"command", command}});
  }
  if (decided && on_decided) on_decided(*decided, text_of(*parsed, "key"));
}

void ledger_state_machine::set_expiry(const std::string& key, record& it,
                                      wall_time until) {
  by_expiry_.erase({it.kept_until, key});
  it.kept_until = until;
  by_expiry_.emplace(until, key);
}

void ledger_state_machine::erase(const std::string& key) {
  const auto it = records_.find(key);
  if (it == records_.end()) return;
  by_expiry_.erase({it->second.kept_until, key});
  records_.erase(it);
}

void ledger_state_machine::expire(wall_time now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first < now) {
    const std::string key = by_expiry_.begin()->second;
    record& it = records_[key];
    if (it.state == record_state::expired) {
      erase(key);
      continue;
    }
    const wall_time until = it.kept_until + tombstone_lifetime;
    it.state = record_state::expired;
    it.answer = stored_answer();
    set_expiry(key, it, until);
  }
}

claim_decision ledger_state_machine::claim(const claim_command& command) {
  expire(command.at);
  const auto found = records_.find(command.key);
  if (found != records_.end()) return decide_existing(command, found->second);
  if (is_full()) return full_decision(command.attempt);
  record& added = records_[command.key];
  added.digest = command.digest;
  added.attempt = command.attempt;
  added.claimed_at = command.at;
  added.deadline = command.deadline;
  set_expiry(command.key, added, command.at + command.window);
  return decision(command.attempt, claim_verdict::granted);
}

claim_decision ledger_state_machine::decide_existing(
    const claim_command& command, record& found) {
  if (found.state == record_state::expired) {
    return decision(command.attempt, claim_verdict::expired);
  }
  if (found.state == record_state::moved) {
    return decision(command.attempt, claim_verdict::moved);
  }
  if (found.digest != command.digest && !limits_.skip_digest_check) {
    return decision(command.attempt, claim_verdict::mismatch);
  }
  // The same command may be in the log twice.
  if (found.state == record_state::claimed &&
      found.attempt == command.attempt) {
    return decision(command.attempt, claim_verdict::granted);
  }
  if (found.state == record_state::claimed && command.at > found.deadline) {
    found.state = record_state::unknown;
  }
  if (found.state == record_state::claimed) {
    claim_decision out = decision(command.attempt, claim_verdict::in_progress);
    out.retry_after = at_least_one_ms(found.deadline - command.at);
    return out;
  }
  if (found.state == record_state::unknown) {
    if (limits_.grant_after_unknown) {
      return decision(command.attempt, claim_verdict::granted);
    }
    return decision(command.attempt, claim_verdict::unknown);
  }
  claim_decision out = decision(command.attempt, claim_verdict::replay);
  out.answer = found.answer;
  return out;
}

claim_decision ledger_state_machine::fence(const fence_command& command) {
  expire(command.at);
  const auto found = records_.find(command.key);
  if (found != records_.end() && found->second.state != record_state::moved) {
    claim_command as_claim;
    as_claim.key = command.key;
    as_claim.digest = command.digest;
    as_claim.attempt = command.attempt;
    as_claim.at = command.at;
    return decide_existing(as_claim, found->second);
  }
  const bool added = found == records_.end();
  if (added && is_full()) return full_decision(command.attempt);
  record& fenced = records_[command.key];
  fenced.state = record_state::moved;
  set_expiry(command.key, fenced, command.at + command.window);
  return decision(command.attempt, claim_verdict::moved);
}

void ledger_state_machine::finish(const finish_command& command) {
  const auto it = records_.find(command.key);
  const bool owns_claim = it != records_.end() &&
                          it->second.attempt == command.attempt &&
                          (it->second.state == record_state::claimed ||
                           it->second.state == record_state::unknown);
  if (owns_claim) {
    switch (command.outcome) {
      case run_outcome::done:
        it->second.state = record_state::done;
        it->second.answer = command.answer;
        break;
      case run_outcome::not_run:
        erase(command.key);
        break;
      case run_outcome::unknown:
        it->second.state = record_state::unknown;
        break;
    }
  }
  if (on_finished) on_finished(command.attempt);
}

std::string ledger_state_machine::save() const {
  json out(Json::objectValue);
  for (const auto& [key, it] : records_) out[key] = to_json(it);
  return to_text(out);
}

result<void> ledger_state_machine::load(std::string_view data) {
  const result<json> parsed =
      data.empty() ? result<json>(json(Json::objectValue)) : parse_json(data);
  if (!parsed || !parsed->isObject()) {
    return fail(error_kind::corrupt, "the ledger's snapshot can't be read",
                "empty the ledger's folder: the node then returns as a learner "
                "and copies the state from the others");
  }
  records_.clear();
  by_expiry_.clear();
  for (auto it = parsed->begin(); it != parsed->end(); ++it) {
    const std::string key = it.name();
    records_[key] = record_from(*it);
    by_expiry_.emplace(records_[key].kept_until, key);
  }
  return {};
}

}  // namespace trestlepost::ledger

// Records and commands of the run-once ledger, and their JSON form. A record
// stores whether the request of an idempotency key has run, and its answer.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"

namespace trestlepost::ledger {

/// Size limit of answers stored for replay, in bytes.
inline constexpr std::size_t max_stored_answer_bytes = 64UL * 1024;

/// Time for which the record of an expired key is kept as a tombstone, so that
/// a request with this key is refused instead of run again.
inline constexpr std::chrono::hours tombstone_lifetime{24 * 7};

/// Returns the key of a request: a hash of caller, service and idempotency key
/// that does not reveal them.
std::string record_key(const std::string& caller, const std::string& service,
                       const std::string& idempotency_key);

/// An answer as it was sent to the caller.
struct stored_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  bool complete = false;  // false: too large to store
};

enum class record_state {
  claimed,  // an attempt may be running the request
  done,     // ran; the answer is stored
  unknown,  // whether the request ran is not known
  moved,    // another region owns the key
  expired   // tombstone of a key whose window has ended
};

struct record {
  record_state state = record_state::claimed;
  std::string digest;   // of the request
  std::string attempt;  // id of the attempt that holds the claim
  wall_time claimed_at;
  wall_time deadline;  // after it, a claim without outcome is unknown
  wall_time kept_until;
  stored_answer answer;
};

/// Requests the right to run a request.
struct claim_command {
  std::string key;
  std::string digest;
  std::string attempt;
  wall_time at;
  wall_time deadline;
  std::chrono::milliseconds window{0};
};

enum class run_outcome { done, not_run, unknown };

/// Reports the outcome of an attempt.
struct finish_command {
  std::string key;
  std::string attempt;
  run_outcome outcome = run_outcome::unknown;
  stored_answer answer;
};

/// Closes a key in this region because another region owns it from now on.
struct fence_command {
  std::string key;
  std::string digest;  // of the request, to compare with an existing record
  std::string attempt;
  wall_time at;
  std::chrono::milliseconds window{0};
};

enum class claim_verdict {
  granted,      // the attempt may run the request
  replay,       // the request has run; the stored answer is returned
  in_progress,  // another attempt is running it, or the ledger is full
  unknown,      // an earlier attempt may have run it
  mismatch,     // the key was used for another request
  expired,      // the key's window has ended
  moved         // another region owns the key
};

std::string_view to_string(claim_verdict verdict);

struct claim_decision {
  std::string attempt;
  claim_verdict verdict = claim_verdict::unknown;
  std::optional<stored_answer> answer;  // for a replay
  std::chrono::milliseconds retry_after{0};
};

json to_json(const claim_command& value);
json to_json(const finish_command& value);
json to_json(const fence_command& value);
claim_command claim_from(const json& value);
finish_command finish_from(const json& value);
fence_command fence_from(const json& value);
json to_json(const claim_decision& value);
claim_decision claim_decision_from(const json& value);
json to_json(const record& value);
record record_from(const json& value);

}  // namespace trestlepost::ledger

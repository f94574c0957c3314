// JSON form of the records and commands of the ledger.
#include "trestlepost/ledger/record.h"

#include <array>
#include <utility>

#include "trestlepost/base/base64.h"
#include "trestlepost/base/hash.h"

namespace trestlepost::ledger {
namespace {

constexpr std::array<std::string_view, 7> verdict_names{
    "granted",  "replay",  "in-progress", "unknown",
    "mismatch", "expired", "moved"};

json ms_of(wall_time at) {
  return json(Json::Int64(to_unix_ms(at)));
}

wall_time time_of(const json& value, const char* key) {
  const json& member = member_of(value, key);
  return from_unix_ms(member.isInt64() ? member.asInt64() : 0);
}

std::chrono::milliseconds duration_of(const json& value, const char* key) {
  return std::chrono::milliseconds(number_of(value, key));
}

json ms_of(std::chrono::milliseconds n) {
  return json(Json::UInt64(static_cast<std::uint64_t>(n.count())));
}

json to_json(const stored_answer& value) {
  json out;
  out["status"] = value.status;
  out["content_type"] = value.content_type;
  out["body"] = to_base64(value.body);
  out["complete"] = value.complete;
  return out;
}

stored_answer stored_answer_from(const json& value) {
  return {static_cast<unsigned>(number_of(value, "status")),
          text_of(value, "content_type"),
          from_base64(text_of(value, "body")).value_or(""),
          flag_of(value, "complete")};
}

template <typename T>
T enum_of(const json& value, const char* key, T highest) {
  const std::uint64_t n = number_of(value, key);
  return n <= static_cast<std::uint64_t>(highest) ? static_cast<T>(n) : highest;
}

}  // namespace

std::string record_key(const std::string& caller, const std::string& service,
                       const std::string& idempotency_key) {
  std::string joined = caller;
  joined += '\0';
  joined += service;
  joined += '\0';
  joined += idempotency_key;
  return sha256_hex(joined);
}

std::string_view to_string(claim_verdict verdict) {
  return verdict_names[static_cast<std::size_t>(verdict)];
}

json to_json(const claim_command& value) {
  json out;
  out["command"] = "claim";
  out["key"] = value.key;
  out["digest"] = value.digest;
  out["attempt"] = value.attempt;
  out["at"] = ms_of(value.at);
  out["deadline"] = ms_of(value.deadline);
  out["window"] = ms_of(value.window);
  return out;
}

claim_command claim_from(const json& value) {
  return {text_of(value, "key"),      text_of(value, "digest"),
          text_of(value, "attempt"),  time_of(value, "at"),
          time_of(value, "deadline"), duration_of(value, "window")};
}

json to_json(const finish_command& value) {
  json out;
  out["command"] = "finish";
  out["key"] = value.key;
  out["attempt"] = value.attempt;
  out["outcome"] = static_cast<unsigned>(value.outcome);
  out["answer"] = to_json(value.answer);
  return out;
}

finish_command finish_from(const json& value) {
  return {text_of(value, "key"), text_of(value, "attempt"),
          enum_of(value, "outcome", run_outcome::unknown),
          stored_answer_from(member_of(value, "answer"))};
}

json to_json(const fence_command& value) {
  json out;
  out["command"] = "fence";
  out["key"] = value.key;
  out["digest"] = value.digest;
  out["attempt"] = value.attempt;
  out["at"] = ms_of(value.at);
  out["window"] = ms_of(value.window);
  return out;
}

fence_command fence_from(const json& value) {
  return {text_of(value, "key"), text_of(value, "digest"),
          text_of(value, "attempt"), time_of(value, "at"),
          duration_of(value, "window")};
}

json to_json(const claim_decision& value) {
  json out;
  out["attempt"] = value.attempt;
  out["verdict"] = static_cast<unsigned>(value.verdict);
  if (value.answer) out["answer"] = to_json(*value.answer);
  out["retry_after"] = ms_of(value.retry_after);
  return out;
}

claim_decision claim_decision_from(const json& value) {
  claim_decision out;
  out.attempt = text_of(value, "attempt");
  // An unknown verdict from a peer must not grant a claim.
  const std::uint64_t verdict = number_of(value, "verdict");
  out.verdict = verdict < verdict_names.size()
                    ? static_cast<claim_verdict>(verdict)
                    : claim_verdict::unknown;
  const json& answer = member_of(value, "answer");
  if (answer.isObject()) out.answer = stored_answer_from(answer);
  out.retry_after = duration_of(value, "retry_after");
  return out;
}

json to_json(const record& value) {
  json out;
  out["state"] = static_cast<unsigned>(value.state);
  out["digest"] = value.digest;
  out["attempt"] = value.attempt;
  out["claimed_at"] = ms_of(value.claimed_at);
  out["deadline"] = ms_of(value.deadline);
  out["kept_until"] = ms_of(value.kept_until);
  if (value.state == record_state::done) out["answer"] = to_json(value.answer);
  return out;
}

record record_from(const json& value) {
  record out;
  out.state = enum_of(value, "state", record_state::expired);
  out.digest = text_of(value, "digest");
  out.attempt = text_of(value, "attempt");
  out.claimed_at = time_of(value, "claimed_at");
  out.deadline = time_of(value, "deadline");
  out.kept_until = time_of(value, "kept_until");
  out.answer = stored_answer_from(member_of(value, "answer"));
  return out;
}

}  // namespace trestlepost::ledger

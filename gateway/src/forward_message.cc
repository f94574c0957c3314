// JSON encoding of forwarded calls, and the digest that authenticates them.
#include "trestlepost/gateway/forward_message.h"

#include <utility>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {

json to_json(const forward_message& value) {
  json out;
  out["head"] = surface::to_json(value.head);
  out["caller"] = value.caller;
  out["service"] = value.service;
  json& labels = out["labels"] = json(Json::objectValue);
  for (const auto& [key, it] : value.labels) labels[key] = it;
  out["repeatable"] = value.repeatable;
  out["idempotency_key"] = value.idempotency_key;
  out["priority"] = static_cast<unsigned>(value.priority);
  out["remaining_ms"] =
      as_number(static_cast<std::uint64_t>(value.remaining.count()));
  out["affinity"] = as_number(value.affinity);
  out["avoid"] = trestlepost::to_json(value.avoid);
  out["revision"] = as_number(value.revision);
  out["sent_at"] =
      as_number(static_cast<std::uint64_t>(to_unix_ms(value.sent_at)));
  return out;
}

result<forward_message> forward_message_from(const std::string& text) {
  const result<json> parsed = parse_json(text);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const json& value = *parsed;
  result<surface::call_head> head =
      surface::call_head_from(member_of(value, "head"));
  if (!head) return tl::make_unexpected(head.error());
  forward_message out;
  out.head = std::move(*head);
  out.caller = text_of(value, "caller");
  out.service = text_of(value, "service");
  const json& labels = member_of(value, "labels");
  if (labels.isObject()) {
    for (const std::string& key : labels.getMemberNames()) {
      out.labels[key] = text_of(labels, key.c_str());
    }
  }
  out.repeatable = flag_of(value, "repeatable");
  out.idempotency_key = text_of(value, "idempotency_key");
  out.priority = static_cast<int>(number_of(value, "priority"));
  out.remaining = std::chrono::milliseconds(number_of(value, "remaining_ms"));
  out.affinity = number_of(value, "affinity");
  out.avoid = text_set_of(value, "avoid");
  out.revision = number_of(value, "revision");
  out.sent_at =
      from_unix_ms(static_cast<std::int64_t>(number_of(value, "sent_at")));
  if (out.caller.empty() || out.service.empty()) {
    return fail(error_kind::bad_input, "a forwarded request is incomplete",
                "run one version of trestlepostd on all nodes");
  }
  return out;
}

std::string forward_digest(const std::string& secret, const std::string& head,
                           std::string_view body) {
  const sha256_digest sum = hmac_sha256(secret, head + "\n" + sha256_hex(body));
  return to_hex(sum.data(), sum.size());
}

}  // namespace trestlepost::gateway

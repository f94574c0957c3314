// JSON encoding of refusals between gateways.
#include "refusal_message.h"

#include "trestlepost/base/json.h"
#include "trestlepost/gateway/forward_message.h"
#include "trestlepost/own/codecs.h"

namespace trestlepost::gateway {
namespace {

run_state run_state_from(const std::string& name) {
  if (name == to_string(run_state::no)) return run_state::no;
  if (name == to_string(run_state::yes)) return run_state::yes;
  return run_state::unknown;
}

}  // namespace

transport::http_response make_refusal(const attempt& outcome) {
  json body;
  body["kind"] = std::string(to_string(outcome.cause.kind));
  body["ran"] = std::string(to_string(outcome.ran));
  body["detail"] = outcome.cause.message;
  body["remedy"] = outcome.cause.remedy;
  body["retry_after_ms"] =
      as_number(static_cast<std::uint64_t>(outcome.retry_after.count()));
  body["endpoint"] = outcome.endpoint;
  body["sends"] = outcome.sends;
  transport::http_response out;
  out.status = own::status_of(outcome.cause.kind);
  out.headers.emplace_back(refused_header, "true");
  out.body = to_text(body);
  return out;
}

attempt read_refusal(const std::string& body, unsigned max_sends) {
  const result<json> parsed = parse_json(body);
  const json value =
      parsed && parsed->isObject() ? *parsed : json(Json::objectValue);
  attempt out = failed_attempt(
      run_state_from(text_of(value, "ran")),
      {error_kind_from(text_of(value, "kind")), text_of(value, "detail"),
       text_of(value, "remedy")},
      std::chrono::milliseconds(number_of(value, "retry_after_ms")));
  out.endpoint = text_of(value, "endpoint");
  // Without this member the other gateway may have made all sends that it was
  // permitted.
  out.sends = value.isMember("sends")
                  ? static_cast<unsigned>(number_of(value, "sends"))
                  : max_sends;
  return out;
}

}  // namespace trestlepost::gateway

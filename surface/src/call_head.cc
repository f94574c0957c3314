// JSON form of a request head, in which gateways forward it.
#include "trestlepost/surface/call_head.h"

#include <boost/beast/core/string.hpp>
#include <utility>

namespace trestlepost::surface {
namespace {

json to_json(const prompt_outline& value) {
  json out;
  json& parts = out["parts"] = json(Json::arrayValue);
  for (const prompt_part& it : value.parts) {
    json one(Json::arrayValue);
    one.append(as_number(it.id));
    one.append(it.tokens);
    parts.append(std::move(one));
  }
  out["prompt_tokens"] = value.prompt_tokens;
  out["most_output_tokens"] = value.most_output_tokens;
  if (value.expected_output_tokens) {
    out["expected_output_tokens"] = *value.expected_output_tokens;
  }
  return out;
}

prompt_outline prompt_from(const json& value) {
  prompt_outline out;
  for (const json& it : member_of(value, "parts")) {
    const bool valid =
        it.isArray() && it.size() == 2 && it[0].isUInt64() && it[1].isUInt();
    if (valid) out.parts.push_back({it[0].asUInt64(), it[1].asUInt()});
  }
  out.prompt_tokens =
      static_cast<std::uint32_t>(number_of(value, "prompt_tokens"));
  out.most_output_tokens =
      static_cast<std::uint32_t>(number_of(value, "most_output_tokens"));
  const json& expected = member_of(value, "expected_output_tokens");
  if (expected.isUInt()) out.expected_output_tokens = expected.asUInt();
  return out;
}

tl::unexpected<error> invalid_head(const std::string& what) {
  return fail(error_kind::bad_input, what,
              "run one version of trestlepostd on all nodes");
}

/// Parses alternating header names and values, as written by `to_json`.
result<transport::header_list> headers_from(const json& value) {
  transport::header_list out;
  if (value.isNull()) return out;
  if (!value.isArray() || value.size() % 2 != 0) {
    return invalid_head(
        "the headers of a forwarded request are not name-value pairs");
  }
  for (Json::ArrayIndex i = 0; i < value.size(); i += 2) {
    const json& name = value[i];
    const json& text = value[i + 1];
    if (!name.isString() || !text.isString()) {
      return invalid_head(
          "a header name or value of a forwarded request is not a string");
    }
    out.emplace_back(name.asString(), text.asString());
  }
  return out;
}

}  // namespace

std::string_view call_head::passthrough_header(std::string_view name) const {
  for (const auto& [key, text] : passthrough_headers) {
    if (boost::beast::iequals(key, name)) return text;
  }
  return {};
}

void call_head::remove_passthrough_header(std::string_view name) {
  std::erase_if(passthrough_headers, [name](const auto& it) {
    return boost::beast::iequals(it.first, name);
  });
}

json to_json(const call_head& value) {
  json out;
  out["request_id"] = value.request_id;
  out["host"] = value.host;
  out["method"] = value.method;
  out["target"] = value.target;
  if (value.prompt.known()) out["prompt"] = to_json(value.prompt);
  if (!value.resume_after.empty()) out["resume_after"] = value.resume_after;
  if (!value.organisation.empty()) {
    out["organisation"] = value.organisation;
    out["key_digest"] = value.key_digest;
  }
  json& headers = out["headers"] = json(Json::arrayValue);
  for (const auto& [name, text] : value.passthrough_headers) {
    headers.append(name);
    headers.append(text);
  }
  return out;
}

result<call_head> call_head_from(const json& value) {
  call_head out;
  out.request_id = text_of(value, "request_id");
  out.host = text_of(value, "host");
  out.method = text_of(value, "method");
  out.target = text_of(value, "target");
  out.prompt = prompt_from(member_of(value, "prompt"));
  out.resume_after = text_of(value, "resume_after");
  out.organisation = text_of(value, "organisation");
  out.key_digest = text_of(value, "key_digest");
  result<transport::header_list> headers =
      headers_from(member_of(value, "headers"));
  if (!headers) return tl::make_unexpected(headers.error());
  out.passthrough_headers = std::move(*headers);
  const bool complete = !out.request_id.empty() && !out.method.empty() &&
                        out.target.starts_with('/');
  if (complete) return out;
  return invalid_head(
      "the head of a forwarded request lacks its id, method or path");
}

}  // namespace trestlepost::surface

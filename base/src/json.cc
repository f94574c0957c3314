#include "trestlepost/base/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace trestlepost {
namespace {

Json::CharReaderBuilder make_builder(json_comments comments) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["allowComments"] = comments == json_comments::allow;
  builder["collectComments"] = false;
  builder["strictRoot"] = false;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["allowTrailingCommas"] = comments == json_comments::allow;
  builder["stackLimit"] = max_json_depth;
  return builder;
}

Json::CharReader& reader_for(json_comments comments) {
  thread_local const std::unique_ptr<Json::CharReader> strict(
      make_builder(json_comments::refuse).newCharReader());
  thread_local const std::unique_ptr<Json::CharReader> commented(
      make_builder(json_comments::allow).newCharReader());
  return comments == json_comments::allow ? *commented : *strict;
}

}  // namespace

result<json> parse_json(std::string_view text, json_comments comments) {
  json value;
  std::string problems;
  bool ok = false;
  try {
    ok = reader_for(comments).parse(text.data(), text.data() + text.size(),
                                    &value, &problems);
  } catch (const Json::Exception& ex) {
    problems = ex.what();
  }
  if (!ok) {
    return fail(error_kind::bad_input, "not valid JSON: " + problems,
                "send one well-formed JSON document");
  }
  return value;
}

std::string to_text(const json& value) {
  thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
  }();
  std::ostringstream out;
  writer->write(value, &out);
  return out.str();
}

std::string to_pretty_text(const json& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

json as_number(std::uint64_t n) {
  return json(Json::UInt64(n));
}

json as_number(std::chrono::milliseconds n) {
  return json(Json::Int64(n.count()));
}

json to_json(const error& value) {
  json out;
  out["kind"] = std::string(to_string(value.kind));
  out["message"] = value.message;
  out["remedy"] = value.remedy;
  return out;
}

error error_from(const json& value) {
  return {error_kind_from(text_of(value, "kind")), text_of(value, "message"),
          text_of(value, "remedy")};
}

const json& member_of(const json& object, const char* key) {
  if (!object.isObject()) return json::nullSingleton();
  return object[key];
}

std::string text_of(const json& object, const char* key) {
  const json& value = member_of(object, key);
  return value.isString() ? value.asString() : std::string();
}

std::uint64_t number_of(const json& object, const char* key) {
  const json& value = member_of(object, key);
  return value.isUInt64() ? value.asUInt64() : 0;
}

double real_of(const json& object, const char* key) {
  const json& value = member_of(object, key);
  return value.isNumeric() ? value.asDouble() : 0;
}

bool flag_of(const json& object, const char* key) {
  const json& value = member_of(object, key);
  return value.isBool() && value.asBool();
}

std::vector<std::string> texts_of(const json& object, const char* key) {
  std::vector<std::string> out;
  for (const json& it : member_of(object, key)) {
    if (it.isString()) out.push_back(it.asString());
  }
  return out;
}

std::set<std::string> text_set_of(const json& object, const char* key) {
  const std::vector<std::string> texts = texts_of(object, key);
  return {texts.begin(), texts.end()};
}

json to_json(const std::set<std::string>& texts) {
  json out(Json::arrayValue);
  for (const std::string& it : texts) out.append(it);
  return out;
}

}  // namespace trestlepost

// JSON values and text, on jsoncpp.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"

namespace trestlepost {

using json = Json::Value;

/// Deepest nesting that `parse_json` accepts.
inline constexpr unsigned max_json_depth = 64;

/// Whether comments may stand in the text.
enum class json_comments { refuse, allow };

/// Parses one document; trailing text and doubled keys are errors.
result<json> parse_json(std::string_view text,
                        json_comments comments = json_comments::refuse);

/// The value on one line.
std::string to_text(const json& value);

/// The value indented for people.
std::string to_pretty_text(const json& value);

/// A number as a value; a span of time in whole milliseconds.
json as_number(std::uint64_t n);
json as_number(std::chrono::milliseconds n);

/// Lenient accessors for messages from peers: a missing or mistyped member
/// reads as the empty value.
std::string text_of(const json& object, const char* key);
std::uint64_t number_of(const json& object, const char* key);
double real_of(const json& object, const char* key);
bool flag_of(const json& object, const char* key);

/// An error as peers tell it.
json to_json(const error& value);
error error_from(const json& value);

/// The member `key`, or a shared null value when it is missing.
const json& member_of(const json& object, const char* key);

}  // namespace trestlepost

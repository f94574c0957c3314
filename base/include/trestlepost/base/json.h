// Parsing, formatting and lenient access of JSON values, based on jsoncpp.
#pragma once

#include <json/value.h>

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"

namespace trestlepost {

using json = Json::Value;

/// Maximum nesting depth that the parsers accept.
inline constexpr unsigned max_json_depth = 64;

/// Whether `parse_json` accepts comments and trailing commas.
enum class json_comments { refuse, allow };

/// Parses one document. Trailing text and duplicate keys are errors.
result<json> parse_json(std::string_view text,
                        json_comments comments = json_comments::refuse);

/// Formats on a single line.
std::string to_text(const json& value);

/// Formats with indentation, for people.
std::string to_pretty_text(const json& value);

/// Converts a number, or a duration in milliseconds, to a JSON number.
json as_number(std::uint64_t n);
json as_number(std::chrono::milliseconds n);

/// Lenient accessors for messages from other nodes. They return an empty
/// string, 0 or false if the member is missing or has another type.
std::string text_of(const json& object, const char* key);
std::uint64_t number_of(const json& object, const char* key);
double real_of(const json& object, const char* key);
bool flag_of(const json& object, const char* key);
/// Returns the strings in an array; other elements are skipped.
std::vector<std::string> texts_of(const json& object, const char* key);
std::set<std::string> text_set_of(const json& object, const char* key);
json to_json(const std::set<std::string>& texts);

/// Converts an error to and from the form in which nodes exchange it.
json to_json(const error& value);
error error_from(const json& value);

/// Returns the member `key`, or a shared null value if it is missing or
/// `object` is no object.
const json& member_of(const json& object, const char* key);

}  // namespace trestlepost

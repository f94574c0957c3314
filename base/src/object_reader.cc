#include "trestlepost/base/object_reader.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

namespace trestlepost {
namespace {

using std::chrono::milliseconds;

// Maximum edit distance of a key that is suggested for an unknown one.
constexpr std::size_t max_distance_for_hint = 3;

struct duration_unit {
  std::string_view name;
  std::int64_t factor;  // milliseconds
};

constexpr std::array<duration_unit, 4> duration_units{
    {{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};

/// Returns the Levenshtein distance.
std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] != b[j - 1] ? 1 : 0);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[b.size()];
}

}  // namespace

std::string nearest_word(const std::string& word,
                         const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = max_distance_for_hint + 1;
  for (const std::string& it : known) {
    const std::size_t n = edit_distance(word, it);
    if (n < best_distance) {
      best_distance = n;
      best = it;
    }
  }
  return best;
}

problem_list::problem_list(std::string text) : text_(std::move(text)) {}

int problem_list::line_of(std::ptrdiff_t offset) const {
  if (text_.empty()) return 0;
  const std::ptrdiff_t size = static_cast<std::ptrdiff_t>(text_.size());
  const std::ptrdiff_t end = std::clamp<std::ptrdiff_t>(offset, 0, size);
  return 1 +
         static_cast<int>(std::count(text_.begin(), text_.begin() + end, '\n'));
}

void problem_list::add(const json& where, std::string key, std::string message,
                       std::string remedy) {
  problems_.push_back({line_of(where.getOffsetStart()), std::move(key),
                       std::move(message), std::move(remedy)});
}

std::string problem_list::to_text(const std::string& file) const {
  std::string out;
  for (const problem& it : problems_) {
    out += file;
    if (it.line > 0) out += ":" + std::to_string(it.line);
    out += ": " + it.key + ": " + it.message + "; " + it.remedy + "\n";
  }
  return out;
}

std::optional<milliseconds> parse_duration(std::string_view text) {
  double n = 0;
  const std::from_chars_result parsed = std::from_chars(
      text.data(), text.data() + text.size(), n, std::chars_format::fixed);
  // The negated comparison rejects NaN as well.
  if (parsed.ec != std::errc() || !(n >= 0)) return std::nullopt;
  std::string_view unit =
      text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
  while (!unit.empty() && unit.front() == ' ') unit.remove_prefix(1);
  constexpr double max_value = 1e9;
  for (const duration_unit& it : duration_units) {
    if (it.name != unit || n > max_value) continue;
    return milliseconds(std::llround(n * static_cast<double>(it.factor)));
  }
  return std::nullopt;
}

std::string format_duration(milliseconds value) {
  const std::int64_t n = value.count();
  for (auto it = duration_units.rbegin(); it != duration_units.rend(); ++it) {
    if (n != 0 && n % it->factor == 0) {
      return std::to_string(n / it->factor) + " " + std::string(it->name);
    }
  }
  return std::to_string(n) + " ms";
}

object_reader::object_reader(const json& value, std::string path,
                             problem_list& problems)
    : value_(value), path_(std::move(path)), problems_(problems) {
  if (!value_.isObject()) {
    problems_.add(value_, path_.empty() ? "(document)" : path_,
                  "an object is expected", "write { \"key\": value, ... }");
  }
}

std::string object_reader::path_of(const char* key) const {
  return path_.empty() ? key : path_ + "." + key;
}

const json* object_reader::find(const char* key, bool required) {
  known_.emplace_back(key);
  if (!value_.isObject()) return nullptr;
  if (value_.isMember(key)) return &value_[key];
  if (required) {
    problems_.add(value_, path_of(key), "the value is missing",
                  std::string("add \"") + key + "\"");
  }
  return nullptr;
}

void object_reader::add_type_error(const json& value, const char* key,
                                   const char* expected) {
  problems_.add(value, path_of(key), std::string(expected) + " is expected",
                std::string("write ") + expected);
}

std::string object_reader::text(const char* key) {
  const json* value = find(key, true);
  if (value == nullptr) return {};
  if (!value->isString() || value->asString().empty()) {
    add_type_error(*value, key, "a non-empty string");
    return {};
  }
  return value->asString();
}

std::string object_reader::text_or(const char* key,
                                   const std::string& fallback) {
  const json* value = find(key, false);
  if (value == nullptr) return fallback;
  if (!value->isString()) {
    add_type_error(*value, key, "a string");
    return fallback;
  }
  return value->asString();
}

bool object_reader::flag_or(const char* key, bool fallback) {
  const json* value = find(key, false);
  if (value == nullptr) return fallback;
  if (!value->isBool()) {
    add_type_error(*value, key, "true or false");
    return fallback;
  }
  return value->asBool();
}

std::uint64_t object_reader::number_or(const char* key, std::uint64_t fallback,
                                       std::uint64_t lowest,
                                       std::uint64_t highest) {
  const json* value = find(key, false);
  if (value == nullptr) return fallback;
  if (!value->isUInt64() || value->asUInt64() < lowest ||
      value->asUInt64() > highest) {
    const std::string expected = "a whole number from " +
                                 std::to_string(lowest) + " to " +
                                 std::to_string(highest);
    add_type_error(*value, key, expected.c_str());
    return fallback;
  }
  return value->asUInt64();
}

double object_reader::real_or(const char* key, double fallback, double lowest,
                              double highest) {
  const json* value = find(key, false);
  if (value == nullptr) return fallback;
  if (!value->isNumeric()) {
    add_type_error(*value, key, "a number");
    return fallback;
  }
  const double n = value->asDouble();
  if (n >= lowest && n <= highest) return n;
  problems_.add(*value, path_of(key), "the number is out of range",
                "write a number from " + std::to_string(lowest) + " to " +
                    std::to_string(highest));
  return fallback;
}

milliseconds object_reader::duration_or(const char* key,
                                        milliseconds fallback) {
  const json* value = find(key, false);
  if (value == nullptr) return fallback;
  if (value->isString()) {
    const std::optional<milliseconds> parsed =
        parse_duration(value->asString());
    if (parsed) return *parsed;
  }
  problems_.add(*value, path_of(key), "a duration with its unit is expected",
                "write for example \"250 ms\", \"5 s\", \"2 min\" or \"24 h\"");
  return fallback;
}

std::vector<std::string> object_reader::texts_or_empty(const char* key) {
  std::vector<std::string> out;
  const json* value = find(key, false);
  if (value == nullptr) return out;
  if (!value->isArray()) {
    add_type_error(*value, key, "a list of strings");
    return out;
  }
  for (const json& it : *value) {
    if (!it.isString()) {
      add_type_error(it, key, "a list of strings");
      return {};
    }
    out.push_back(it.asString());
  }
  return out;
}

std::map<std::string, std::string> object_reader::text_map_or_empty(
    const char* key) {
  std::map<std::string, std::string> out;
  const json* value = find(key, false);
  if (value == nullptr) return out;
  if (!value->isObject()) {
    add_type_error(*value, key, "an object of strings");
    return out;
  }
  for (auto it = value->begin(); it != value->end(); ++it) {
    if (!it->isString()) {
      add_type_error(*it, key, "an object of strings");
      return {};
    }
    out.emplace(it.name(), it->asString());
  }
  return out;
}

std::string object_reader::choice_or_first(
    const char* key, const std::vector<std::string>& choices) {
  std::string value = text_or(key, choices.front());
  if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
    return value;
  }
  std::string listed;
  for (const std::string& it : choices) {
    listed += (listed.empty() ? "" : ", ") + it;
  }
  problems_.add(value_[key], path_of(key), "unknown value \"" + value + "\"",
                "write one of: " + listed);
  return choices.front();
}

std::vector<json> object_reader::objects_or_empty(const char* key) {
  std::vector<json> out;
  const json* value = find(key, false);
  if (value == nullptr) return out;
  if (!value->isArray()) {
    add_type_error(*value, key, "a list of objects");
    return out;
  }
  for (const json& it : *value) out.push_back(it);
  return out;
}

const json& object_reader::raw(const char* key) {
  const json* value = find(key, false);
  return value == nullptr ? json::nullSingleton() : *value;
}

void object_reader::finish() {
  if (!value_.isObject()) return;
  for (auto it = value_.begin(); it != value_.end(); ++it) {
    const std::string name = it.name();
    if (std::find(known_.begin(), known_.end(), name) != known_.end()) {
      continue;
    }
    const std::string hint = nearest_word(name, known_);
    problems_.add(
        *it, path_of(name.c_str()), "the key is unknown",
        hint.empty() ? "remove it" : "did you mean \"" + hint + "\"?");
  }
}

}  // namespace trestlepost

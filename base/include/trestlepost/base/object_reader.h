// Validating reader for JSON documents that people write. It collects every
// problem with its line, key and remedy, so that one run reports them all.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/json.h"

namespace trestlepost {

/// Validation error in a document.
struct problem {
  int line = 0;  // starts at 1; 0 if unknown
  std::string key;
  std::string message;
  std::string remedy;
};

/// Collects problems and converts byte offsets to line numbers.
class problem_list {
 public:
  /// `text` is the document to which offsets refer. Without it, problems have
  /// no line.
  explicit problem_list(std::string text = {});

  /// Adds a problem at the line where the value `where` starts.
  void add(const json& where, std::string key, std::string message,
           std::string remedy);

  bool empty() const { return problems_.empty(); }
  const std::vector<problem>& items() const { return problems_; }

  /// Formats each problem on a line: "FILE:LINE: KEY: MESSAGE; REMEDY".
  std::string to_text(const std::string& file) const;

 private:
  int line_of(std::ptrdiff_t offset) const;

  std::string text_;
  std::vector<problem> problems_;
};

/// Parses a duration such as "250 ms", "5 s", "2 min" or "24 h". Returns
/// nullopt if it is negative, too large or has no known unit.
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Formats a duration for `parse_duration`, in the largest unit that divides
/// it.
std::string format_duration(std::chrono::milliseconds value);

/// Reads the members of an object. Each accessor marks its key as known and
/// adds a problem if the value is invalid. Holds references to `value` and
/// `problems`.
class object_reader {
 public:
  object_reader(const json& value, std::string path, problem_list& problems);

  /// Returns a required, non-empty string, or an empty string with a problem.
  std::string text(const char* key);

  /// These return the fallback, or an empty container, if the member is missing
  /// or, with a problem, if it is invalid. Ranges include both limits.
  std::string text_or(const char* key, const std::string& fallback);
  bool flag_or(const char* key, bool fallback);
  std::uint64_t number_or(const char* key, std::uint64_t fallback,
                          std::uint64_t lowest, std::uint64_t highest);
  double real_or(const char* key, double fallback, double lowest,
                 double highest);
  std::chrono::milliseconds duration_or(const char* key,
                                        std::chrono::milliseconds fallback);
  std::vector<std::string> texts_or_empty(const char* key);
  std::map<std::string, std::string> text_map_or_empty(const char* key);

  /// Returns one of `choices`. The first one is the default.
  std::string choice_or_first(const char* key,
                              const std::vector<std::string>& choices);

  /// Returns the elements of an array, or none if it is missing. The caller
  /// checks that each is an object.
  std::vector<json> objects_or_empty(const char* key);

  /// Returns the member without validation, or null if it is missing.
  const json& raw(const char* key);

  /// Returns the path of the member `key`, as shown in problems.
  std::string path_of(const char* key) const;

  /// Adds a problem for each member that no accessor has read. Call it last.
  void finish();

 private:
  const json* find(const char* key, bool required);
  void add_type_error(const json& value, const char* key, const char* expected);

  const json& value_;
  std::string path_;
  problem_list& problems_;
  std::vector<std::string> known_;
};

/// Returns the entry of `known` with the smallest edit distance to `word`, or
/// an empty string if none is similar.
std::string nearest_word(const std::string& word,
                         const std::vector<std::string>& known);

}  // namespace trestlepost

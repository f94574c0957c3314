// Checked reading of JSON documents that people write: every mistake is
// collected with its line, key and remedy, so that one run shows them all.
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

/// One mistake in a document.
struct problem {
  int line = 0;  // 1-based; 0 when the place is not known
  std::string key;
  std::string message;
  std::string remedy;
};

/// Collects problems and turns byte offsets into lines.
class problem_list {
 public:
  /// `text` is the document that the offsets refer to; it is copied.
  explicit problem_list(std::string text = {});

  /// Adds a problem at `where`.
  void add(const json& where, std::string key, std::string message,
           std::string remedy);

  bool empty() const { return problems_.empty(); }
  const std::vector<problem>& items() const { return problems_; }

  /// One line a problem: "FILE:LINE: KEY: MESSAGE; REMEDY".
  std::string to_text(const std::string& file) const;

 private:
  int line_of(std::ptrdiff_t offset) const;

  std::string text_;
  std::vector<problem> problems_;
};

/// Parses "250 ms", "5 s", "2 min" or "24 h".
std::optional<std::chrono::milliseconds> parse_duration(std::string_view text);

/// Writes a duration the way `parse_duration` reads it.
std::string format_duration(std::chrono::milliseconds value);

/// Reads the members of one object. Call `finish` last: it reports the keys
/// that no accessor asked for.
class object_reader {
 public:
  object_reader(const json& value, std::string path, problem_list& problems);

  /// Required members; on a mistake a problem is added and the empty value or
  /// the fallback returned.
  std::string text(const char* key);
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

  /// One of `choices`; the first one is the default.
  std::string choice_or_first(const char* key,
                              const std::vector<std::string>& choices);

  /// An array of objects (empty when missing); the caller reads each.
  std::vector<json> objects_or_empty(const char* key);

  /// The member as it stands, or null; marks the key as known.
  const json& raw(const char* key);

  /// The path of member `key`, as shown in problems.
  std::string path_of(const char* key) const;

  void finish();

 private:
  const json* find(const char* key, bool required);
  void wrong_type(const json& value, const char* key, const char* expected);

  const json& value_;
  std::string path_;
  problem_list& problems_;
  std::vector<std::string> known_;
};

/// The entry of `known` nearest to `word` by edit distance, or empty.
std::string nearest_word(const std::string& word,
                         const std::vector<std::string>& known);

}  // namespace trestlepost

#include "trestlepost/base/json_elements.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "trestlepost/base/utf8.h"

namespace trestlepost {
namespace {

// Maximum size of an element in bytes. Limits the search for the end of an
// object that is not terminated.
constexpr std::size_t max_element_bytes = 16UL * 1024;
// Maximum number of unreadable objects before the whole document is rejected,
// since each costs a scan of up to `max_element_bytes` bytes.
constexpr std::size_t max_unreadable_objects = 256;

constexpr std::string_view blanks = " \t\r\n";

tl::unexpected<error> unreadable(const std::string& what) {
  return fail(error_kind::bad_input, what,
              "check which program writes the list");
}

/// Returns the offset after the object that starts at `begin`, or npos if its
/// end is missing or too far away.
std::size_t end_of_object(std::string_view text, std::size_t begin) {
  const std::size_t last = std::min(text.size(), begin + max_element_bytes);
  std::size_t depth = 0;
  bool quoted = false;
  for (std::size_t i = begin; i < last; ++i) {
    const char it = text[i];
    if (quoted) {
      if (it == '\\') ++i;
      if (it == '"') quoted = false;
      continue;
    }
    if (it == '"') quoted = true;
    if (it == '{') ++depth;
    if (it == '}' && --depth == 0) return i + 1;
  }
  return std::string_view::npos;
}

/// Returns whether the text from `begin` to `end` has array punctuation on both
/// sides: a comma, or the opening or closing bracket.
bool has_array_punctuation(std::string_view text, std::size_t begin,
                           std::size_t end) {
  const std::size_t next = text.find_first_not_of(blanks, end);
  const std::size_t last = text.substr(0, begin).find_last_not_of(blanks);
  if (next == std::string_view::npos || last == std::string_view::npos) {
    return false;
  }
  return (text[next] == ',' || text[next] == ']') &&
         (text[last] == ',' || text[last] == '[');
}

/// Element and the offset after it.
struct found_element {
  json value;
  std::size_t end = 0;
};
/// Returns the object at `begin` if it is an element of the array.
std::optional<found_element> element_at(std::string_view text,
                                        std::size_t begin, const char* id_key) {
  const std::size_t end = end_of_object(text, begin);
  if (end == std::string_view::npos ||
      !has_array_punctuation(text, begin, end)) {
    return std::nullopt;
  }
  const std::string_view candidate = text.substr(begin, end - begin);
  if (!is_utf8(candidate)) return std::nullopt;
  result<json> value = parse_json(candidate);
  if (!value || !value->isMember(id_key)) return std::nullopt;
  return found_element{std::move(*value), end};
}

/// Returns the offset after the opening bracket of the array member `list`, or
/// npos if there is none.
std::size_t begin_of_list(std::string_view text, const char* list) {
  const std::string key = "\"" + std::string(list) + "\"";
  const std::size_t named = text.find(key);
  if (named == std::string_view::npos) return named;
  const std::size_t colon = text.find_first_not_of(blanks, named + key.size());
  if (colon == std::string_view::npos || text[colon] != ':') {
    return std::string_view::npos;
  }
  const std::size_t open = text.find_first_not_of(blanks, colon + 1);
  const bool opens = open != std::string_view::npos && text[open] == '[';
  return opens ? open + 1 : std::string_view::npos;
}

/// Finds the readable elements of a malformed document.
result<json_elements> find_readable_elements(std::string_view text,
                                             const char* list,
                                             const char* id_key) {
  std::size_t at = begin_of_list(text, list);
  if (at == std::string_view::npos)
    return unreadable("the document has no such list");
  json_elements out;
  std::size_t unreadable_objects = 0;
  bool after_unreadable = false;
  while ((at = text.find('{', at)) != std::string_view::npos) {
    std::optional<found_element> found = element_at(text, at, id_key);
    if (found) {
      out.items.emplace_back(std::move(found->value));
      at = found->end;
      after_unreadable = false;
      continue;
    }
    if (++unreadable_objects > max_unreadable_objects) {
      return unreadable("most of the list is unreadable");
    }
    // Adjacent unreadable objects, which may be nested, are reported as one.
    if (!after_unreadable) {
      out.items.emplace_back(unreadable("it is not JSON in UTF-8"));
    }
    after_unreadable = true;
    ++at;
  }
  return out;
}

}  // namespace

result<json_elements> read_elements(std::string_view text, const char* list,
                                    const char* id_key) {
  result<json> document = is_utf8(text) ? parse_json(text) : unreadable("");
  if (!document) return find_readable_elements(text, list, id_key);
  if (!member_of(*document, list).isArray()) {
    return unreadable("the document has no such list");
  }
  json_elements out;
  out.well_formed = true;
  json all;
  document->removeMember(list, &all);
  for (json& it : all) out.items.emplace_back(std::move(it));
  out.other_members = std::move(*document);
  return out;
}

result<json> find_string_member(std::string_view text, std::string_view key) {
  const std::string quoted = "\"" + std::string(key) + "\"";
  const std::size_t named = text.rfind(quoted);
  if (named == std::string_view::npos) {
    return unreadable("there is no " + std::string(key));
  }
  const std::string_view tail = text.substr(named, max_element_bytes);
  std::size_t end = tail.find_first_of(",}", quoted.size());
  if (end == std::string_view::npos) end = tail.size();
  std::string member = "{";
  member.append(tail.substr(0, end));
  member.append("}");
  const result<json> parsed = parse_json(member);
  if (!parsed) return tl::make_unexpected(parsed.error());
  const json& value = member_of(*parsed, std::string(key).c_str());
  if (value.isString() || value.isNull()) return value;
  return unreadable(std::string(key) + " is neither a string nor null");
}

}  // namespace trestlepost

// Error-tolerant parser for a JSON document that holds an array of objects. If
// the document is malformed, the elements that are valid by themselves are
// still read.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"

namespace trestlepost {

/// Elements of one array member of a document, and the other members.
struct json_elements {
  /// Elements in document order; an error for one that cannot be read.
  std::vector<result<json>> items;
  /// Other members of the document. Null if the document is malformed.
  json other_members;
  /// Whether the whole document is valid JSON in UTF-8.
  bool well_formed = false;
};

/// Reads the array member `list` of the document `text`. In a malformed
/// document an object counts as an element if it is valid JSON in UTF-8, has
/// array punctuation on both sides and has a member `id_key`, which
/// distinguishes elements from objects nested in them. Returns an error if
/// there is no such array, or if too much of it is unreadable to trust the
/// remainder.
result<json_elements> read_elements(std::string_view text, const char* list,
                                    const char* id_key);

/// Finds the last occurrence of the member `key` in a malformed document and
/// returns its value, a string or null. Returns an error if there is none or
/// the value has another type.
result<json> find_string_member(std::string_view text, std::string_view key);

}  // namespace trestlepost

// Reads the objects of a JSON list one by one, so that one that another writer
// spoiled costs only itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/base/json.h"

namespace trestlepost {

/// The objects of the list that is the member `list` of the document `text`.
/// A document that is JSON as a whole is read so. Of another one the readable
/// objects are found: an object counts when it is JSON in UTF-8 by itself,
/// stands between the signs that divide a list, and has a member `mark`, which
/// tells the objects of the list from those inside of them.
struct json_elements {
  std::vector<result<json>> items;  // or why one can't be read
  /// The other members of the document; empty where it is not JSON.
  json rest;
  /// False where the document is not JSON as a whole.
  bool whole = false;
};

/// An error when there is no such list, or so much of it is unreadable that
/// the rest is not to be trusted.
result<json_elements> read_elements(std::string_view text, const char* list,
                                    const char* mark);

/// The text member `key` of a document that is not JSON as a whole, from the
/// last place where it stands; null where it is told to be null.
result<json> find_text_member(std::string_view text, std::string_view key);

}  // namespace trestlepost

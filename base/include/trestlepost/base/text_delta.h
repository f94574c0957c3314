// A text as a change of another one: what they share is named by its place.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost {

/// What leads from `before` to `after`. Parts that end with a closing brace
/// are compared as wholes, so the delta is short for JSON documents that share
/// most of their objects, wherever they stand.
std::string make_text_delta(std::string_view before, std::string_view after);

/// The text that `delta` leads to from `before`; nothing when it does not fit,
/// or when the text would be longer than `limit` bytes.
std::optional<std::string> apply_text_delta(std::string_view before,
                                            std::string_view delta,
                                            std::size_t limit);

}  // namespace trestlepost

// Validation of text from other systems before it is displayed, logged or
// forwarded.
#pragma once

#include <cstddef>
#include <string_view>

namespace trestlepost {

/// Returns whether `text` is well-formed UTF-8.
bool is_utf8(std::string_view text);

/// Returns whether `text` is UTF-8 of 1 to `max_bytes` bytes without control
/// characters.
bool is_printable(std::string_view text, std::size_t max_bytes);

/// Returns whether `text` is 1 to `max_bytes` visible ASCII characters, as
/// allowed in a header or an address.
bool is_visible_ascii(std::string_view text, std::size_t max_bytes);

}  // namespace trestlepost

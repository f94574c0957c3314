// Text that others wrote: whether it can be shown, logged and sent on.
#pragma once

#include <cstddef>
#include <string_view>

namespace trestlepost {

/// Whether `text` is well-formed UTF-8.
bool is_utf8(std::string_view text);

/// Whether `text` is UTF-8 of one to `most` bytes without control characters.
bool is_printable(std::string_view text, std::size_t most);

/// Whether `text` is one to `most` visible ASCII characters: what may stand in
/// a header or an address.
bool is_visible_ascii(std::string_view text, std::size_t most);

}  // namespace trestlepost

// Makes messages between peers smaller; not installed. Bytes between regions
// are dear, and whole plans are large.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost::transport::detail {

/// The text as it travels: compressed where that makes it shorter.
std::string pack(std::string_view text);

/// Undoes `pack`; nothing for damaged input, or for a text above `limit`.
std::optional<std::string> unpack(std::string payload, std::size_t limit);

}  // namespace trestlepost::transport::detail

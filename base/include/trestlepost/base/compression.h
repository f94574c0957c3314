// Compression of JSON text with zlib. Used for messages between nodes, since
// traffic between regions is expensive, and for large commands in the log.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trestlepost {

/// Compresses JSON text. Returns the text unchanged if compression does not
/// make it shorter. The result is binary.
std::string pack(std::string_view text);

/// Reverses `pack`. Returns nullopt if the payload is damaged or its text is
/// larger than `limit` bytes.
std::optional<std::string> unpack(std::string payload, std::size_t limit);

/// Like `pack`, but returns text that needs no escaping in a JSON string: an
/// uncompressed text as it is, a compressed one in base64.
std::string pack_printable(std::string_view text);

/// Reverses `pack_printable`. Returns nullopt under the same conditions as
/// `unpack`.
std::optional<std::string> unpack_printable(std::string_view packed,
                                            std::size_t limit);

}  // namespace trestlepost

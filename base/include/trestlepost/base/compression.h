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
std::string compress_text(std::string_view text);

/// Reverses `compress_text`. Returns nullopt if the payload is damaged or its
/// text is larger than `limit` bytes.
std::optional<std::string> decompress_text(std::string payload,
                                           std::size_t limit);

/// Like `compress_text`, but returns text that needs no escaping in a JSON
/// string: an uncompressed text as it is, a compressed one in base64.
std::string compress_printable(std::string_view text);

/// Reverses `compress_printable`. Returns nullopt under the same conditions as
/// `decompress_text`.
std::optional<std::string> decompress_printable(std::string_view encoded,
                                                std::size_t limit);

}  // namespace trestlepost

// Base64 encoding with OpenSSL, used to carry binary data in JSON strings.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace trestlepost {

/// Encodes with padding and without line breaks.
std::string to_base64(std::string_view data);

/// Decodes padded base64. Returns nullopt for empty or malformed text.
std::optional<std::string> from_base64(std::string_view text);

}  // namespace trestlepost

// Access to the query string of a request's target.
#pragma once

#include <string>
#include <string_view>

namespace trestlepost::transport {

/// Returns the value of the first parameter `name` in the query of `target`,
/// without percent-decoding, or an empty string if there is none.
std::string_view query_value(std::string_view target, std::string_view name);

/// Decodes percent escapes. A "%" without two hexadecimal digits stays as it
/// is.
std::string decode_percent(std::string_view text);

}  // namespace trestlepost::transport

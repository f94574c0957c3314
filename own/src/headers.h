// Header names of the protocol with callers and endpoints, as documented in
// docs/INTERFACES.md, and parsing helpers for their values.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

#include "trestlepost/base/error.h"

namespace trestlepost::own {

namespace headers {
inline constexpr char request_id[] = "X-Request-Id";
inline constexpr char content_type[] = "Content-Type";
inline constexpr char idempotency_key[] = "Idempotency-Key";
inline constexpr char labels[] = "Trestlepost-Labels";
inline constexpr char repeatable[] = "Trestlepost-Repeatable";
inline constexpr char priority[] = "Trestlepost-Priority";
inline constexpr char deadline[] = "Trestlepost-Deadline-Ms";
inline constexpr char attempt[] = "Trestlepost-Attempt";
}  // namespace headers

/// Parses a decimal integer from `min` to `max`.
inline std::optional<std::int64_t> read_number(std::string_view text,
                                               std::int64_t min,
                                               std::int64_t max) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result read = std::from_chars(text.data(), end, n);
  const bool complete = read.ec == std::errc() && read.ptr == end;
  if (!complete || n < min || n > max) return std::nullopt;
  return n;
}

/// Returns the error for a header with an invalid value; `remedy` describes the
/// valid ones.
inline tl::unexpected<error> invalid_header(std::string_view name,
                                            std::string_view remedy) {
  return fail(error_kind::bad_input,
              "the header " + std::string(name) + " has an invalid value",
              std::string(remedy));
}

}  // namespace trestlepost::own

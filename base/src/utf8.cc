#include "trestlepost/base/utf8.h"

#include <algorithm>
#include <cstdint>

namespace trestlepost {
namespace {

constexpr unsigned char first_visible = 0x21;
constexpr unsigned char last_visible = 0x7e;

/// Returns the length in bytes of the sequence that starts with `lead`, or 0 if
/// none does.
std::size_t sequence_length(unsigned char lead) {
  if (lead < 0x80) return 1;
  if (lead >= 0xc2 && lead < 0xe0) return 2;
  if (lead >= 0xe0 && lead < 0xf0) return 3;
  if (lead >= 0xf0 && lead < 0xf5) return 4;
  return 0;
}

/// Returns whether `second` may follow `lead`. Rejects overlong encodings,
/// surrogates and code points above U+10FFFF.
bool is_valid_second_byte(unsigned char lead, unsigned char second) {
  switch (lead) {
    case 0xe0:
      return second >= 0xa0;
    case 0xed:
      return second < 0xa0;
    case 0xf0:
      return second >= 0x90;
    case 0xf4:
      return second < 0x90;
    default:
      return true;
  }
}

bool is_continuation(unsigned char it) {
  return (it & 0xc0U) == 0x80;
}

}  // namespace

bool is_utf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t n = sequence_length(lead);
    if (n == 0 || i + n > text.size()) return false;
    for (std::size_t j = 1; j < n; ++j) {
      const auto next = static_cast<unsigned char>(text[i + j]);
      if (!is_continuation(next)) return false;
      if (j == 1 && !is_valid_second_byte(lead, next)) return false;
    }
    i += n;
  }
  return true;
}

bool is_printable(std::string_view text, std::size_t max_bytes) {
  const auto is_control = [](char it) {
    const auto n = static_cast<unsigned char>(it);
    return n < first_visible - 1 || n == last_visible + 1;
  };
  return !text.empty() && text.size() <= max_bytes && is_utf8(text) &&
         std::none_of(text.begin(), text.end(), is_control);
}

bool is_visible_ascii(std::string_view text, std::size_t max_bytes) {
  const auto is_visible = [](char it) {
    const auto n = static_cast<unsigned char>(it);
    return n >= first_visible && n <= last_visible;
  };
  return !text.empty() && text.size() <= max_bytes &&
         std::all_of(text.begin(), text.end(), is_visible);
}

}  // namespace trestlepost

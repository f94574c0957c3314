#include "trestlepost/transport/query.h"

#include <charconv>
#include <optional>

namespace trestlepost::transport {
namespace {

constexpr std::size_t escape_size = 3;  // "%" and two digits

/// Returns the character that `text` begins with an escape of, if it does.
std::optional<char> read_escape(std::string_view text) {
  if (text.size() < escape_size || text.front() != '%') return std::nullopt;
  constexpr int hexadecimal = 16;
  unsigned char code = 0;
  const char* end = text.data() + escape_size;
  const bool valid =
      std::from_chars(text.data() + 1, end, code, hexadecimal).ptr == end;
  if (!valid) return std::nullopt;
  return static_cast<char>(code);
}

}  // namespace

std::string_view query_value(std::string_view target, std::string_view name) {
  const std::size_t mark = target.find('?');
  if (mark == std::string_view::npos) return {};
  std::string_view rest = target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
    const std::size_t equals = parameter.find('=');
    if (equals != std::string_view::npos &&
        parameter.substr(0, equals) == name) {
      return parameter.substr(equals + 1);
    }
  }
  return {};
}

std::string decode_percent(std::string_view text) {
  std::string out;
  while (!text.empty()) {
    const std::optional<char> escaped = read_escape(text);
    out += escaped.value_or(text.front());
    text.remove_prefix(escaped ? escape_size : 1);
  }
  return out;
}

}  // namespace trestlepost::transport

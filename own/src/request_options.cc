#include "trestlepost/own/request_options.h"

#include <algorithm>
#include <cctype>

#include "headers.h"

namespace trestlepost::own {
namespace {

// Limits documented in docs/INTERFACES.md; lengths are in bytes.
constexpr std::size_t max_request_id_bytes = 128;
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr int max_priority = 9;

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

}  // namespace

result<config::label_map> parse_labels(std::string_view text) {
  config::label_map out;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view one = trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
    const std::size_t equals = one.find('=');
    const bool ok = equals != std::string_view::npos && equals > 0 &&
                    equals + 1 < one.size();
    if (!ok) {
      return invalid_header(headers::labels, "write key=value,key=value");
    }
    const std::string key(trim(one.substr(0, equals)));
    if (!out.emplace(key, trim(one.substr(equals + 1))).second) {
      return invalid_header(headers::labels, "name each label once");
    }
  }
  return out;
}

result<request_options> read_options(const transport::http_exchange& exchange) {
  request_options out;
  result<config::label_map> labels =
      parse_labels(exchange.header(headers::labels));
  if (!labels) return tl::make_unexpected(labels.error());
  out.labels = std::move(*labels);
  const std::string_view repeatable = exchange.header(headers::repeatable);
  if (repeatable == "true" || repeatable == "false") {
    out.repeatable = repeatable == "true";
  } else if (!repeatable.empty()) {
    return invalid_header(headers::repeatable, "write true or false");
  }
  out.idempotency_key = std::string(exchange.header(headers::idempotency_key));
  if (out.idempotency_key.size() > max_idempotency_key_bytes) {
    return invalid_header(headers::idempotency_key,
                          "use 256 characters at most");
  }
  const std::string_view priority = exchange.header(headers::priority);
  if (!priority.empty()) {
    const std::optional<std::int64_t> n =
        read_number(priority, 0, max_priority);
    if (!n) {
      return invalid_header(headers::priority,
                            "write 0 to 9; higher priorities go first");
    }
    out.priority = static_cast<int>(*n);
  }
  return out;
}

std::string valid_request_id(std::string_view text) {
  if (text.empty() || text.size() > max_request_id_bytes) return {};
  const bool valid = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.';
  });
  return valid ? std::string(text) : std::string();
}

std::string_view bearer_token(std::string_view header) {
  constexpr std::string_view scheme = "Bearer ";
  if (header.substr(0, scheme.size()) != scheme) return {};
  return trim(header.substr(scheme.size()));
}

}  // namespace trestlepost::own

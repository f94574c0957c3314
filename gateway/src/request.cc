#include "trestlepost/gateway/request.h"

#include <algorithm>
#include <cctype>
#include <charconv>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {
namespace {

constexpr std::size_t longest_id = 128;
constexpr std::size_t longest_key = 256;
constexpr std::size_t prefix_size = 512;
constexpr int most_priority = 9;
constexpr std::int64_t most_deadline_ms = 3'600'000;

std::optional<std::int64_t> parse_number(std::string_view text) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed = std::from_chars(text.data(), end, n);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return n;
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

tl::unexpected<error> bad_header(std::string_view name,
                                 std::string_view remedy) {
  return fail(error_kind::bad_input,
              "the header " + std::string(name) + " is not understood",
              std::string(remedy));
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
      return bad_header("Trestlepost-Labels", "write key=value,key=value");
    }
    const std::string key(trim(one.substr(0, equals)));
    if (!out.emplace(key, trim(one.substr(equals + 1))).second) {
      return bad_header("Trestlepost-Labels", "name each label once");
    }
  }
  return out;
}

result<request_options> read_options(const transport::http_exchange& exchange) {
  request_options out;
  result<config::label_map> labels =
      parse_labels(exchange.header("Trestlepost-Labels"));
  if (!labels) return tl::make_unexpected(labels.error());
  out.labels = std::move(*labels);
  const std::string_view repeatable = exchange.header("Trestlepost-Repeatable");
  if (repeatable == "true" || repeatable == "false") {
    out.repeatable = repeatable == "true";
  } else if (!repeatable.empty()) {
    return bad_header("Trestlepost-Repeatable", "write true or false");
  }
  out.idempotency_key = std::string(exchange.header("Idempotency-Key"));
  if (out.idempotency_key.size() > longest_key) {
    return bad_header("Idempotency-Key", "use 256 characters at most");
  }
  const std::string_view priority = exchange.header("Trestlepost-Priority");
  if (!priority.empty()) {
    const std::optional<std::int64_t> n = parse_number(priority);
    if (!n || *n < 0 || *n > most_priority) {
      return bad_header("Trestlepost-Priority",
                        "write 0 to 9; the highest goes first");
    }
    out.priority = static_cast<int>(*n);
  }
  const std::string_view deadline = exchange.header("Trestlepost-Deadline-Ms");
  if (!deadline.empty()) {
    const std::optional<std::int64_t> n = parse_number(deadline);
    if (!n || *n < 1 || *n > most_deadline_ms) {
      return bad_header("Trestlepost-Deadline-Ms",
                        "write milliseconds from 1 to 3600000");
    }
    out.deadline = std::chrono::milliseconds(*n);
  }
  return out;
}

std::string sound_request_id(std::string_view text) {
  if (text.empty() || text.size() > longest_id) return {};
  const bool sound = std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' ||
           c == '_' || c == '.';
  });
  return sound ? std::string(text) : std::string();
}

std::string_view bearer_token(std::string_view header) {
  constexpr std::string_view scheme = "Bearer ";
  if (header.substr(0, scheme.size()) != scheme) return {};
  return trim(header.substr(scheme.size()));
}

result<model_call> read_model_call(const std::string& body) {
  const result<json> parsed = parse_json(body);
  if (!parsed) return tl::make_unexpected(parsed.error());
  model_call out;
  out.model = text_of(*parsed, "model");
  if (out.model.empty()) {
    return fail(error_kind::bad_input, "the body names no model",
                "set \"model\" to the name of a service");
  }
  const json& messages = member_of(*parsed, "messages");
  const std::string prompt =
      messages.isArray() ? to_text(messages) : text_of(*parsed, "prompt");
  const std::string prefix = prompt.substr(0, prefix_size);
  // 0 stands for "no affinity".
  if (!prefix.empty()) out.affinity = hash64(prefix) | 1;
  return out;
}

std::string request_digest(const incoming_request& request) {
  return sha256_hex(request.method + " " + request.path + "\n" +
                    request.content_type + "\n" + request.body);
}

}  // namespace trestlepost::gateway

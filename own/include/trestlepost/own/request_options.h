// Parses the headers by which callers set options of a request, such as labels
// and priority, and validates request ids and bearer tokens.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"
#include "trestlepost/config/selector.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::own {

/// Options from the Trestlepost headers and Idempotency-Key.
struct request_options {
  config::label_map labels;
  std::optional<bool> repeatable;
  std::string idempotency_key;
  int priority = 0;  // 0 to 9; higher priorities go first
};

/// Fails with the name of the first header whose value is invalid.
result<request_options> read_options(const transport::http_exchange& exchange);

/// Parses "key=value,key=value". Fails on a repeated key, an empty key or an
/// empty value.
result<config::label_map> parse_labels(std::string_view text);

/// Returns the caller's X-Request-Id if it is valid, or else an empty string.
/// Characters that could corrupt a log line are invalid.
std::string valid_request_id(std::string_view text);

/// Returns the token of an Authorization header "Bearer TOKEN", or an empty
/// string.
std::string_view bearer_token(std::string_view header);

}  // namespace trestlepost::own

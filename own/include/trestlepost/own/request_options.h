// What callers ask for beside the head that every surface reads.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/error.h"
#include "trestlepost/config/selector.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::own {

/// What the product's own headers say.
struct request_options {
  config::label_map labels;
  std::optional<bool> repeatable;
  std::string idempotency_key;
  int priority = 0;  // 0 to 9; the highest goes first
};

/// Reads the Trestlepost headers and Idempotency-Key.
result<request_options> read_options(const transport::http_exchange& exchange);

/// "key=value,key=value".
result<config::label_map> parse_labels(std::string_view text);

/// The caller's X-Request-Id when it is sound, or an empty string.
std::string sound_request_id(std::string_view text);

/// The token of "Authorization: Bearer TOKEN", or an empty string.
std::string_view bearer_token(std::string_view header);

}  // namespace trestlepost::own

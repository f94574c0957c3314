// A request as the gateway handles it.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/objects.h"
#include "trestlepost/transport/http_server.h"

namespace trestlepost::gateway {

/// A caller's request, checked and complete.
struct incoming_request {
  std::string id;  // X-Request-Id
  std::shared_ptr<const config::caller> caller;
  std::shared_ptr<const config::service> service;
  config::label_map labels;
  std::string method;
  std::string path;  // at the endpoint
  std::string content_type;
  std::string body;
  bool repeatable = true;
  std::string idempotency_key;
  int priority = 0;
  monotonic_time deadline;
  std::uint64_t affinity = 0;  // hash of the prompt's prefix; 0: none

  /// Must the ledger grant it before its first byte goes out?
  bool runs_once() const { return !repeatable && !idempotency_key.empty(); }
};

/// What the head of a request says, before its body is read.
struct request_options {
  config::label_map labels;
  std::optional<bool> repeatable;
  std::string idempotency_key;
  int priority = 0;
  std::optional<std::chrono::milliseconds> deadline;
};

/// Reads the Trestlepost headers and Idempotency-Key.
result<request_options> read_options(const transport::http_exchange& exchange);

/// "key=value,key=value".
result<config::label_map> parse_labels(std::string_view text);

/// The caller's X-Request-Id when it is sound, or an empty string.
std::string sound_request_id(std::string_view text);

/// The token of "Authorization: Bearer TOKEN", or an empty string.
std::string_view bearer_token(std::string_view header);

/// What the body of a model call says.
struct model_call {
  std::string model;
  std::uint64_t affinity = 0;
};
result<model_call> read_model_call(const std::string& body);

/// Digest of what would run, to tell a resend from another request under the
/// same key.
std::string request_digest(const incoming_request& request);

}  // namespace trestlepost::gateway

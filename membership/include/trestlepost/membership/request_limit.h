// Limits of requests per second that endpoints state in their answers, and
// their JSON encoding in messages between gateways.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/base/json.h"

namespace trestlepost::membership {

/// What an answer of an endpoint stated.
struct request_limit {
  /// Requests per second from all gateways together; empty if the answer stated
  /// no limit.
  std::optional<double> per_second;
  /// Time since the answer.
  std::chrono::milliseconds age{0};

  bool operator==(const request_limit&) const = default;
};

/// The last statement of each endpoint, by endpoint.
using request_limits = std::map<std::string, request_limit>;

/// Adds those statements of `from` that are the latest ones. `from` was
/// received `received_ago`.
void merge(request_limits& into, const request_limits& from,
           std::chrono::milliseconds received_ago);

json to_json(const request_limits& value);
/// Entries that can't be decoded are skipped.
request_limits request_limits_from(const json& value);

}  // namespace trestlepost::membership

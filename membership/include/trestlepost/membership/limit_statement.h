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
struct limit_statement {
  /// Requests per second from all gateways together; empty if the answer stated
  /// no limit.
  std::optional<double> per_second;
  /// Time since the answer.
  std::chrono::milliseconds age{0};

  bool operator==(const limit_statement&) const = default;
};

/// The last statement of each endpoint, by endpoint.
using limit_statements = std::map<std::string, limit_statement>;

/// Adds those statements of `from` that are the latest ones. `from` was
/// received `received_ago`.
void merge(limit_statements& into, const limit_statements& from,
           std::chrono::milliseconds received_ago);

json to_json(const limit_statements& value);
/// Entries that can't be decoded are skipped.
limit_statements limit_statements_from(const json& value);

}  // namespace trestlepost::membership

// Tickets for operator calls that do not complete immediately. JSON-RPC
// handlers must not block, so the client gets a ticket and polls for the
// result.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/json.h"
#include "trestlepost/transport/rpc.h"

namespace trestlepost::node {

using answer_function = std::function<void(result<json>)>;

/// A method that calls `answer` once, immediately or later.
using async_method =
    std::function<void(const json& params, const transport::rpc_context& caller,
                       const answer_function& answer)>;

/// Stores the open calls and their results by ticket.
class ticket_table {
 public:
  /// Adds a ticket and returns its id.
  std::string open(const std::string& id, monotonic_time now);
  /// Stores the result of a call. The first result wins.
  void close(const std::string& id, result<json> answer);

  /// The result of the call, {"ticket": id} when it has none yet, or an error
  /// for an unknown ticket.
  result<json> read(const std::string& id) const;

  /// Removes expired tickets.
  void tick(monotonic_time now);

 private:
  struct entry {
    monotonic_time opened_at;
    std::optional<result<json>> answer;
  };
  std::map<std::string, entry> entries_;
};

}  // namespace trestlepost::node

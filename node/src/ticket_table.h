// Operators' calls that take time: answered with a ticket and asked for again,
// because JSON-RPC handlers must not wait.
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

/// A method that answers later, once.
using slow_method =
    std::function<void(const json& params, const transport::rpc_context& caller,
                       const answer_function& answer)>;

class ticket_table {
 public:
  /// Opens a ticket; the function closes it.
  std::string open(const std::string& id, monotonic_time now);
  void close(const std::string& id, result<json> answer);

  /// The answer when there is one; an error for an unknown ticket; else
  /// {"ticket": id}, to be asked for again.
  result<json> read(const std::string& id) const;

  /// Forgets tickets after a time.
  void tick(monotonic_time now);

 private:
  struct entry {
    monotonic_time opened_at;
    std::optional<result<json>> answer;
  };
  std::map<std::string, entry> entries_;
};

}  // namespace trestlepost::node

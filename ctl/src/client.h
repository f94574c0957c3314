// JSON-RPC client for the operators' interface of a node.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"

namespace trestlepost::ctl {

struct client_options {
  std::vector<std::string> nodes;  // operators' addresses, tried in order
  std::string token;
  std::chrono::milliseconds timeout{25'000};  // for the result of a ticket
  /// For the connection to a node, and for each step of the exchange with it.
  std::chrono::milliseconds node_timeout{5000};
};

class client {
 public:
  explicit client(client_options options) : options_(std::move(options)) {}

  /// Calls a method on the first available node. If the node answers with a
  /// ticket, polls that node until the result is there or the timeout passes.
  result<json> call(const std::string& method, const json& params);

 private:
  result<json> call_at(const std::string& address, const std::string& method,
                       const json& params);

  client_options options_;
  std::uint64_t next_id_ = 1;
};

}  // namespace trestlepost::ctl

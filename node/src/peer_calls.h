// Remote procedure calls between control nodes, built on peer notifications.
// Notifications may be lost, so a call without an answer fails after a timeout.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "connections/request_numbers.h"
#include "node_context.h"
#include "ticket_table.h"

namespace trestlepost::node {

/// Sends calls to peers, matches the answers, and serves the peers' calls.
class peer_calls {
 public:
  /// Handles a call on the called node and answers it, immediately or later.
  using call_handler =
      std::function<void(const json& params, const answer_function& answer)>;

  explicit peer_calls(node_context& context)
      : context_(context), numbers_(context.random) {}

  void start();
  void tick();

  /// Registers the handler for calls of `method` from peers.
  void handle(const std::string& method, call_handler handler);
  /// Calls `method` on the peer at `address`. `answer` is called once, with the
  /// result or an error.
  void call(const std::string& address, const std::string& method, json params,
            answer_function answer);

 private:
  struct pending_call {
    answer_function answer;
    monotonic_time since;
  };

  void handle_answer(const json& params);

  node_context& context_;
  std::map<std::uint64_t, pending_call> pending_;
  request_numbers numbers_;
};

}  // namespace trestlepost::node

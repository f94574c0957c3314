// Calls from one control node to another, over notifications, which may be
// lost: a call that is not answered in time ends with an error.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "node_context.h"
#include "ticket_table.h"

namespace trestlepost::node {

class peer_calls {
 public:
  /// Answers a call at the called node, at once or later.
  using call_handler =
      std::function<void(const json& params, const answer_function& answer)>;

  explicit peer_calls(node_context& context) : context_(context) {}

  void start();
  void tick();

  /// Handles the calls of `method` that peers make here.
  void handle(const std::string& method, call_handler handler);
  /// Calls the peer; `answer` is called once.
  void call(const std::string& address, const std::string& method, json params,
            answer_function answer);

 private:
  struct open_call {
    answer_function answer;
    monotonic_time since;
  };

  void take_answer(const json& params);

  node_context& context_;
  std::map<std::uint64_t, open_call> open_;
  std::uint64_t next_token_ = 1;
};

}  // namespace trestlepost::node

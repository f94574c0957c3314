#include "peer_calls.h"

#include <utility>
#include <vector>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

constexpr char answer_method[] = "call.answer";
// Timeout for an answer; longer than any order waits for its result.
constexpr std::chrono::milliseconds call_timeout{2000};

}  // namespace

void peer_calls::start() {
  context_.peers.add_notification(
      answer_method, [this](const json& params, const transport::rpc_context&) {
        handle_answer(params);
      });
}

void peer_calls::handle(const std::string& method, call_handler handler) {
  context_.peers.add_notification(
      method, [this, handler = std::move(handler)](
                  const json& params, const transport::rpc_context&) {
        const std::string reply_to = text_of(params, "reply_to");
        const std::uint64_t token = number_of(params, "token");
        handler(params, [this, reply_to, token](const result<json>& answer) {
          json out;
          out["token"] = as_number(token);
          if (answer) {
            out["result"] = *answer;
          } else {
            out["error"] = to_json(answer.error());
          }
          context_.links.send(reply_to, answer_method, out);
        });
      });
}

void peer_calls::call(const std::string& address, const std::string& method,
                      json params, answer_function answer) {
  const std::uint64_t token = numbers_.next();
  params["token"] = as_number(token);
  params["reply_to"] = context_.self.peer_address;
  pending_[token] = {std::move(answer), context_.clock.now()};
  context_.links.send(address, method, params);
}

void peer_calls::handle_answer(const json& params) {
  const auto found = pending_.find(number_of(params, "token"));
  if (found == pending_.end()) {
    // The call has timed out, or an earlier process made it.
    log_event(log_level::info, "peer-answer-unmatched");
    return;
  }
  const answer_function answer = std::move(found->second.answer);
  pending_.erase(found);
  const json& failed = member_of(params, "error");
  if (failed.isObject()) {
    answer(tl::make_unexpected(error_from(failed)));
  } else {
    answer(member_of(params, "result"));
  }
}

void peer_calls::tick() {
  const monotonic_time now = context_.clock.now();
  // Tokens ascend in the order of the calls, so the oldest call comes first.
  while (!pending_.empty() &&
         pending_.begin()->second.since + call_timeout < now) {
    const answer_function answer = std::move(pending_.begin()->second.answer);
    pending_.erase(pending_.begin());
    answer(fail(error_kind::outcome_unknown, "the leader did not answer",
                "send the same call again"));
  }
}

}  // namespace trestlepost::node

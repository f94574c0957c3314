// Passes the answer of a call on to the caller, either complete or recognizably
// truncated.
#pragma once

#include <functional>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/ledger/record.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// Returns the headers that every answer carries.
transport::header_list answer_headers(const std::string& region, run_state ran,
                                      const std::string& request_id);

struct delivery_result {
  attempt outcome;
  /// The answer as sent, if it was complete and small enough to store.
  ledger::stored_answer answer;
};

/// Sends the answer of `call` to the caller. Buffers a short non-streamed
/// answer completely before sending, so that a truncated one can be retried, if
/// `memory` has room for it.
/// Calls `on_first` at the first piece of the body.
transport::awaitable<delivery_result> deliver(
    transport::http_call& call, transport::http_exchange& exchange,
    transport::header_list headers, std::shared_ptr<memory_budget> memory,
    std::function<void()> on_first);

/// Sends a refusal for a failed attempt.
transport::awaitable<void> refuse(transport::http_exchange& exchange,
                                  const attempt& outcome,
                                  const std::string& request_id);

}  // namespace trestlepost::gateway

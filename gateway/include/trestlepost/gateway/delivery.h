// Brings the answer of a call to the caller, whole or visibly broken.
#pragma once

#include <functional>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/ledger/record.h"
#include "trestlepost/transport/http_client.h"

namespace trestlepost::gateway {

/// The headers that every answer carries.
transport::header_list answer_headers(const std::string& region, run_state ran,
                                      const std::string& request_id);

struct delivery_result {
  attempt outcome;
  /// The answer as it went out, when it was whole and small enough.
  ledger::stored_answer answer;
};

/// Sends the answer of `call` on. A short plain answer is read whole first,
/// so that one that is cut short can still be retried. `on_first` is called
/// at its first piece.
transport::awaitable<delivery_result> deliver(
    transport::http_call& call, transport::http_exchange& exchange,
    transport::header_list headers, std::function<void()> on_first);

/// Sends a refusal for an attempt that failed.
transport::awaitable<void> refuse(transport::http_exchange& exchange,
                                  const attempt& outcome,
                                  const std::string& request_id);

}  // namespace trestlepost::gateway

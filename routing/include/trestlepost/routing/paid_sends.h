// Counts how often a request has been sent to endpoints and charges each send
// after the first to a retry budget.
#pragma once

#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {

/// Must be consulted before each send of a request, whatever the reason and the
/// target: endpoints are loaded by every arrival. A send after a rejection
/// costs as much as one after a run that may have started.
class paid_sends {
 public:
  /// The next send is free: it is the first one, or the gateway that forwarded
  /// the request has already paid for it. `before` is the number of endpoints
  /// that the request has reached so far.
  explicit paid_sends(unsigned before = 0) : count_(before) {}

  /// Number of endpoints that the request has reached.
  unsigned count() const { return count_; }

  /// Returns whether the next send may be made. Takes it from `budget` unless
  /// it is already paid for.
  bool cover_next(retry_budget& budget) {
    if (covered_) return true;
    if (!budget.take()) return false;
    covered_ = true;
    taken_ = true;
    return true;
  }

  /// Records a send that reached `n` endpoints. If `n` is above 1, the gateway
  /// that received the forwarded request has paid for all but the first.
  void sent(unsigned n) {
    if (n == 0) return;
    count_ += n;
    covered_ = false;
    taken_ = false;
  }

  /// Puts an unused charge back into `budget`; call it when no send follows.
  void end(retry_budget& budget) {
    if (taken_) budget.give_back();
    taken_ = false;
  }

 private:
  unsigned count_ = 0;
  bool covered_ = true;  // the next send is paid for
  bool taken_ = false;   // from the budget of this gateway
};

}  // namespace trestlepost::routing

// Counts how often a request has been sent to endpoints and charges each send
// after the first to a retry budget.
#pragma once

#include "trestlepost/routing/retry_budget.h"

namespace trestlepost::routing {

/// Must be consulted before each send of a request, whatever the reason and the
/// target: endpoints are loaded by every arrival. A send after a rejection
/// costs as much as one after a run that may have started.
class charged_sends {
 public:
  /// The next send is free: it is the first one, or the gateway that forwarded
  /// the request has already paid for it. `earlier_sends` is the number of
  /// endpoints that the request has reached so far.
  explicit charged_sends(unsigned earlier_sends = 0) : count_(earlier_sends) {}

  /// Number of endpoints that the request has reached.
  unsigned count() const { return count_; }

  /// Returns whether the next send needs no further charge.
  bool is_next_paid() const { return next_charged_; }

  /// Returns whether the next send may be made. Takes it from `budget` unless
  /// it is already paid for.
  bool charge_next(retry_budget& budget) {
    if (next_charged_) return true;
    if (!budget.try_take()) return false;
    next_charged_ = true;
    refundable_ = true;
    return true;
  }

  /// Records a send that reached `n` endpoints. If `n` is above 1, the gateway
  /// that received the forwarded request has paid for all but the first.
  void record_sent(unsigned n) {
    if (n == 0) return;
    count_ += n;
    next_charged_ = false;
    refundable_ = false;
  }

  /// Puts an unused charge back into `budget`; call it when no send follows.
  void refund_unused(retry_budget& budget) {
    if (refundable_) budget.refund();
    refundable_ = false;
  }

 private:
  unsigned count_ = 0;
  bool next_charged_ = true;  // the next send is paid for
  bool refundable_ = false;   // from the budget of this gateway
};

}  // namespace trestlepost::routing

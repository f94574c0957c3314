#include "trestlepost/config/delivery_tracker.h"

#include <algorithm>

namespace trestlepost::config {
namespace {

// Upper limit of the doubled timeouts: long enough that a slow link does not
// queue dozens of copies of one change, short enough that a watcher that
// reconnects is updated soon.
constexpr std::chrono::milliseconds max_timeout{16'000};

}  // namespace

void delivery_tracker::acknowledge(revision_number revision,
                                   monotonic_time now) {
  if (revision < acknowledged_) discard_sent();
  if (revision > acknowledged_) {
    timeout_start_ = now;
    timeout_ = initial_timeout;
  }
  acknowledged_ = revision;
}

void delivery_tracker::discard_sent() {
  sent_ = 0;
}

bool delivery_tracker::in_flight(monotonic_time now) const {
  return sent_ > acknowledged_ && now < timeout_start_ + timeout_;
}

std::optional<revision_number> delivery_tracker::pending_from(
    revision_number newest, monotonic_time now) const {
  const revision_number from = in_flight(now) ? sent_ : acknowledged_;
  if (from >= newest) return std::nullopt;
  return from;
}

bool delivery_tracker::is_retransmission(monotonic_time now) const {
  return sent_ > acknowledged_ && !in_flight(now);
}

void delivery_tracker::record_sent(revision_number revision,
                                   monotonic_time now) {
  const bool retransmitted = sent_ > acknowledged_;
  if (!in_flight(now)) {
    timeout_start_ = now;
    if (retransmitted) timeout_ = std::min(2 * timeout_, max_timeout);
  }
  sent_ = std::max(sent_, revision);
}

}  // namespace trestlepost::config

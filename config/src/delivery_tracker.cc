#include "trestlepost/config/delivery_tracker.h"

#include <algorithm>

namespace trestlepost::config {
namespace {

// Upper limit of the doubled timeouts: long enough that a slow link does not
// queue dozens of copies of one change, short enough that a watcher that
// reconnects is updated soon.
constexpr std::chrono::milliseconds most_patience{16'000};

}  // namespace

void content_delivery::holds(revision_number revision, monotonic_time now) {
  if (revision < held_) missed();
  if (revision > held_) {
    waiting_since_ = now;
    patience_ = first_patience;
  }
  held_ = revision;
}

void content_delivery::missed() {
  sent_ = 0;
}

bool content_delivery::under_way(monotonic_time now) const {
  return sent_ > held_ && now < waiting_since_ + patience_;
}

std::optional<revision_number> content_delivery::due(revision_number newest,
                                                     monotonic_time now) const {
  const revision_number from = under_way(now) ? sent_ : held_;
  if (from >= newest) return std::nullopt;
  return from;
}

bool content_delivery::is_repeat(monotonic_time now) const {
  return sent_ > held_ && !under_way(now);
}

void content_delivery::sent(revision_number revision, monotonic_time now) {
  const bool again = sent_ > held_;
  if (!under_way(now)) {
    waiting_since_ = now;
    if (again) patience_ = std::min(2 * patience_, most_patience);
  }
  sent_ = std::max(sent_, revision);
}

}  // namespace trestlepost::config

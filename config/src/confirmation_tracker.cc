#include "trestlepost/config/confirmation_tracker.h"

namespace trestlepost::config {

void confirmation_tracker::record_decision(revision_number revision,
                                           monotonic_time now) {
  const bool known = !waiting_.empty() && waiting_.back().revision >= revision;
  if (!known) waiting_.push_back({revision, now});
}

std::vector<confirmed_revision> confirmation_tracker::confirm(
    revision_number revision, monotonic_time now) {
  std::vector<confirmed_revision> out;
  while (!waiting_.empty() && waiting_.front().revision <= revision) {
    const waiting_revision& it = waiting_.front();
    out.push_back(
        {it.revision, std::chrono::duration_cast<std::chrono::milliseconds>(
                          now - it.decided_at)});
    waiting_.pop_front();
  }
  return out;
}

}  // namespace trestlepost::config

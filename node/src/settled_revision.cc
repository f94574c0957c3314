#include "settled_revision.h"

namespace trestlepost::node {

void settled_revision::record(config::revision_number revision,
                              monotonic_time now) {
  if (first_ == 0) first_ = revision;
  const config::revision_number last =
      unsettled_.empty() ? settled_ : unsettled_.back().revision;
  if (revision != last) unsettled_.push_back({revision, now});
}

config::revision_number settled_revision::newest_settled(monotonic_time now) {
  while (!unsettled_.empty() &&
         unsettled_.front().since + settle_time_ <= now) {
    settled_ = unsettled_.front().revision;
    unsettled_.pop_front();
  }
  return settled_;
}

}  // namespace trestlepost::node

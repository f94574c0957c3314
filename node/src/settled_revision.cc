#include "settled_revision.h"

namespace trestlepost::node {

void settled_revision::note(config::revision_number revision,
                            monotonic_time now) {
  if (first_ == 0) first_ = revision;
  const config::revision_number last =
      newer_.empty() ? settled_ : newer_.back().revision;
  if (revision != last) newer_.push_back({revision, now});
}

config::revision_number settled_revision::at(monotonic_time now) {
  while (!newer_.empty() && newer_.front().since + after_ <= now) {
    settled_ = newer_.front().revision;
    newer_.pop_front();
  }
  return settled_;
}

}  // namespace trestlepost::node

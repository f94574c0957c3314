#include "trestlepost/config/hold_tracker.h"

#include <utility>

namespace trestlepost::config {

hold_changes hold_tracker::update(const object_store& store) {
  hold_changes out;
  if (store.revision() == last_revision_) return out;
  last_revision_ = store.revision();
  std::set<std::string> now;
  for (const auto& [fingerprint, it] : store.held_requests()) {
    now.insert(fingerprint);
    if (!held_.contains(fingerprint)) out.held.push_back(fingerprint);
  }
  for (const std::string& it : held_) {
    if (!now.contains(it)) out.released.push_back(it);
  }
  held_ = std::move(now);
  return out;
}

}  // namespace trestlepost::config

#include "unreadable_entries.h"

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

// Limit of the entries remembered as logged. When it is reached, all are
// forgotten and logged again; the log's rate limit still applies.
constexpr std::size_t max_logged_entries = 1000;

}  // namespace

std::size_t unreadable_entries::record(
    const std::vector<surface::unreadable_entry>& found) {
  count_ = found.size();
  if (logged_.size() >= max_logged_entries) logged_.clear();
  std::size_t newly_logged = 0;
  for (const surface::unreadable_entry& it : found) {
    if (!logged_.insert(it).second) continue;
    log_event(log_level::warn, "platform-entry-unreadable",
              {{"endpoint", it.id},
               {"detail", it.cause},
               {"remedy", "check who writes to the platform's list"}});
    ++newly_logged;
  }
  return newly_logged;
}

}  // namespace trestlepost::node

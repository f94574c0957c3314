#include "unreadable_entries.h"

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

// Limit of the entries remembered as logged. When it is reached, all are
// forgotten and logged again; the log's rate limit still applies.
constexpr std::size_t most_remembered = 1000;

}  // namespace

std::size_t unreadable_entries::note(
    const std::vector<surface::unreadable_entry>& found) {
  count_ = found.size();
  if (logged_.size() >= most_remembered) logged_.clear();
  std::size_t fresh = 0;
  for (const surface::unreadable_entry& it : found) {
    if (!logged_.insert(it).second) continue;
    log_event(log_level::warn, "platform-entry-unreadable",
              {{"endpoint", it.id},
               {"detail", it.cause},
               {"remedy", "check who writes to the platform's list"}});
    ++fresh;
  }
  return fresh;
}

}  // namespace trestlepost::node

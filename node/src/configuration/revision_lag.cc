#include "configuration/revision_lag.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Changes reach all nodes within this time unless a node or a link is slow.
constexpr milliseconds min_logged_lag{1000};

}  // namespace

void revision_lag::record(config::revision_number own,
                          config::revision_number newest,
                          std::optional<monotonic_time> confirmed_at,
                          monotonic_time now) {
  if (own >= newest) {
    if (logged_) {
      log_event(log_level::info, "configuration-caught-up",
                {{"revision", std::to_string(own)},
                 {"ms", ms_between(*since_, now)}});
    }
    since_.reset();
    logged_ = false;
    return;
  }
  if (!since_) since_ = now;
  if (confirmed_at) since_ = std::max(*since_, *confirmed_at);
  if (logged_ || now < *since_ + min_logged_lag) return;
  logged_ = true;
  log_event(
      log_level::warn, "configuration-behind",
      {{"revision", std::to_string(own)}, {"newest", std::to_string(newest)}});
}

milliseconds revision_lag::lag(monotonic_time now) const {
  if (!since_) return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(now - *since_);
}

}  // namespace trestlepost::node

#include "watcher_paths.h"

#include <chrono>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A watcher without a direct poll for this time counts as unreachable from this
// node. Two poll intervals of an up-to-date node.
constexpr milliseconds direct_poll_timeout{1000};
// Time to wait for a direct poll of a new watcher, whose first poll can arrive
// sooner through a nearer node. Two poll intervals of a node that has just
// started.
constexpr milliseconds initial_wait{300};

}  // namespace

void watcher_paths::record_poll(const std::string& address,
                                const std::string& via, monotonic_time now) {
  address_ = address;
  if (via.empty()) {
    last_direct_poll_at_ = now;
  } else {
    via_ = via;
  }
}

bool watcher_paths::is_direct(monotonic_time now) const {
  return last_direct_poll_at_ &&
         now < *last_direct_poll_at_ + direct_poll_timeout;
}

bool watcher_paths::is_known(monotonic_time now) const {
  return is_direct(now) || now >= first_poll_at_ + initial_wait;
}

watcher_paths::path watcher_paths::preferred(monotonic_time now) const {
  const bool direct = is_direct(now) || via_.empty();
  return direct ? path::direct : path::relayed;
}

std::vector<watcher_paths::path> watcher_paths::candidates(
    monotonic_time now) const {
  if (is_direct(now) || via_.empty()) return {path::direct};
  // Missing direct polls don't prove a partition: connections of the watcher or
  // of the relaying node may have stalled. Over a single path a gateway
  // received a change 2.2 s later than all others.
  return {path::direct, path::relayed};
}

std::vector<watcher_paths::path> watcher_paths::after_loss(
    const std::string& lost, monotonic_time now) const {
  const bool affected = lost == address_ || (!is_direct(now) && lost == via_);
  return affected ? candidates(now) : std::vector<path>{};
}

}  // namespace trestlepost::node

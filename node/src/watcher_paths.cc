#include "watcher_paths.h"

#include <chrono>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A watcher without a direct poll for this time counts as unreachable from this
// node. Two poll intervals of an up-to-date node.
constexpr milliseconds direct_patience{1000};
// Time to wait for a direct poll of a new watcher, whose first poll can arrive
// sooner through a nearer node. Two poll intervals of a node that has just
// started.
constexpr milliseconds first_patience{300};

}  // namespace

void watcher_ways::polled(const std::string& address, const std::string& via,
                          monotonic_time now) {
  address_ = address;
  if (via.empty()) {
    direct_at_ = now;
  } else {
    via_ = via;
  }
}

bool watcher_ways::is_direct(monotonic_time now) const {
  return direct_at_ && now < *direct_at_ + direct_patience;
}

bool watcher_ways::known(monotonic_time now) const {
  return is_direct(now) || now >= first_at_ + first_patience;
}

watcher_ways::way watcher_ways::best(monotonic_time now) const {
  const bool direct = is_direct(now) || via_.empty();
  return direct ? way::direct : way::passed_on;
}

std::vector<watcher_ways::way> watcher_ways::all(monotonic_time now) const {
  if (is_direct(now) || via_.empty()) return {way::direct};
  // Missing direct polls don't prove a partition: connections of the watcher or
  // of the relaying node may have stalled. Over a single path a gateway
  // received a change 2.2 s later than all others.
  return {way::direct, way::passed_on};
}

std::vector<watcher_ways::way> watcher_ways::after_loss(
    const std::string& lost, monotonic_time now) const {
  const bool concerned = lost == address_ || (!is_direct(now) && lost == via_);
  return concerned ? all(now) : std::vector<way>{};
}

}  // namespace trestlepost::node

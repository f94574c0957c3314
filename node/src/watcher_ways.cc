#include "watcher_ways.h"

#include <chrono>

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// A watcher that has not polled this node itself for so long is taken to be cut
// off from it: two polls of a node that is content.
constexpr milliseconds direct_patience{1000};
// Its first poll may come sooner by way of a nearer node than directly: two
// polls of a node that has just started.
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
  // It has not been heard for a while, which need not mean a cut: its own
  // connections may have fallen silent, or those of the node in between. With
  // one way alone a gateway got a change 2.2 s after all others.
  return {way::direct, way::passed_on};
}

std::vector<watcher_ways::way> watcher_ways::after_loss(
    const std::string& lost, monotonic_time now) const {
  const bool concerned = lost == address_ || (!is_direct(now) && lost == via_);
  return concerned ? all(now) : std::vector<way>{};
}

}  // namespace trestlepost::node

// Bounds how long data that this node reads may have waited in its sockets.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::node {

/// A moment on this node, and the revision that it had applied then.
struct node_moment {
  monotonic_time at;
  config::revision_number revision = 0;
};

/// A process that is frozen or busy reads what waits in its sockets as if it
/// had just arrived. Regular ticks of its event loop show how long that may
/// have been.
class arrival_bound {
 public:
  /// Records that the event loop is running.
  void record_tick(const node_moment& now);

  /// A moment that precedes the arrival of data which is read at `now`; after a
  /// stall of the event loop, a moment before the stall.
  node_moment before_arrival(monotonic_time now) const;
  /// As above, for data that arrived `since_data` ago according to the
  /// operating system, which tells the time more precisely. After a stall of
  /// the event loop a zero doesn't count, since some systems always tell it.
  node_moment arrival(
      monotonic_time now,
      std::optional<std::chrono::milliseconds> since_data) const;

 private:
  bool has_stalled(monotonic_time now) const;

  /// A gap between two ticks that counts as a stall.
  static constexpr std::chrono::milliseconds stall_threshold{250};
  /// Time after a stall in which the event loop may still read what arrived
  /// during it.
  static constexpr std::chrono::milliseconds settling_time{250};
  /// Data that is read after a tick may have arrived before it, in the event
  /// loop iteration of the tick before.
  static constexpr std::size_t kept_ticks = 3;

  std::deque<node_moment> ticks_;  // oldest first
  /// The moment before the last stall, until the node has settled.
  std::optional<node_moment> before_stall_;
  monotonic_time resumed_at_;
};

}  // namespace trestlepost::node

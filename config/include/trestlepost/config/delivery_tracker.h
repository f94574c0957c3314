// Tracks which configuration changes one watcher was sent and which it has
// acknowledged, and decides what to send next.
#pragma once

#include <chrono>
#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Decides from which revision on a watcher is sent changes, so that no change
/// is sent again while it is in flight. Polls that arrive while a change is in
/// flight still report the old revision; answering each of them with all
/// changes would keep a leader busy for seconds after a large change.
class delivery_tracker {
 public:
  /// Records that a poll of the watcher reported `revision`. A lower revision
  /// than before means that the watcher lost its copy.
  void acknowledge(revision_number revision, monotonic_time now);
  /// Regards everything in flight as lost. Called when the watcher could not
  /// apply an update or has changed its address.
  void discard_sent();
  /// The revision that the watcher reported last.
  revision_number acknowledged() const { return acknowledged_; }

  /// The revision after which the changes to send now begin; nullopt if the
  /// watcher has `newest` or everything up to it is in flight.
  std::optional<revision_number> pending_from(revision_number newest,
                                              monotonic_time now) const;
  /// Whether the changes to send were sent before and count as lost.
  bool is_retransmission(monotonic_time now) const;
  /// Records that all changes up to `revision` were sent. The timeout doubles
  /// with each retransmission until the watcher acknowledges a newer revision.
  void record_sent(revision_number revision, monotonic_time now);

 private:
  /// Time after which changes in flight count as lost. A gateway needs 32 ms of
  /// CPU time to apply 4,000 new routes, and a change has to be in force within
  /// 4 s, so one retransmission fits.
  static constexpr std::chrono::milliseconds initial_timeout{2000};

  /// Whether sent changes are unacknowledged and don't count as lost yet.
  bool in_flight(monotonic_time now) const;

  revision_number acknowledged_ = 0;
  revision_number sent_ = 0;
  /// Start of the current timeout: the first send of what is in flight, or the
  /// watcher's last progress.
  monotonic_time timeout_start_;
  std::chrono::milliseconds timeout_ = initial_timeout;
};

}  // namespace trestlepost::config

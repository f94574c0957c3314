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
class content_delivery {
 public:
  /// Records that a poll of the watcher reported `revision`. A lower revision
  /// than before means that the watcher lost its copy.
  void holds(revision_number revision, monotonic_time now);
  /// Regards everything in flight as lost. Called when the watcher could not
  /// apply an update or has changed its address.
  void missed();
  revision_number held() const { return held_; }

  /// The revision after which the changes to send now begin; nullopt if the
  /// watcher has `newest` or everything up to it is in flight.
  std::optional<revision_number> due(revision_number newest,
                                     monotonic_time now) const;
  /// Whether the changes to send were sent before and count as lost.
  bool is_repeat(monotonic_time now) const;
  /// Records that all changes up to `revision` were sent. The timeout doubles
  /// with each retransmission until the watcher acknowledges a newer revision.
  void sent(revision_number revision, monotonic_time now);

 private:
  /// Time after which changes in flight count as lost. A gateway needs 32 ms of
  /// CPU time to apply 4,000 new routes, and a change has to be in force within
  /// 4 s, so one retransmission fits.
  static constexpr std::chrono::milliseconds first_patience{2000};

  bool under_way(monotonic_time now) const;

  revision_number held_ = 0;
  revision_number sent_ = 0;
  /// Start of the current timeout: the first send of what is in flight, or the
  /// watcher's last progress.
  monotonic_time waiting_since_;
  std::chrono::milliseconds patience_ = first_patience;
};

}  // namespace trestlepost::config

// What one watcher was sent of the configuration, and what is due to it.
#pragma once

#include <chrono>
#include <optional>

#include "trestlepost/base/clock.h"
#include "trestlepost/config/store.h"

namespace trestlepost::config {

/// Decides from which revision a watcher is sent changes, so that none is sent
/// twice while it is under way. The polls that come meanwhile still name the
/// old revision, and answering each with all changes would keep a leader busy
/// for seconds after a large one.
class content_delivery {
 public:
  /// The watcher polls and holds `revision`. Less than before means that it
  /// lost what it held.
  void holds(revision_number revision, monotonic_time now);
  /// The watcher could not use what it was sent, or listens elsewhere now:
  /// nothing that was sent counts.
  void missed();
  revision_number held() const { return held_; }

  /// The revision that the changes due now begin after; nothing when the
  /// watcher holds `newest` or all of it is under way.
  std::optional<revision_number> due(revision_number newest,
                                     monotonic_time now) const;
  /// Whether what is due was sent before and is taken for lost.
  bool is_repeat(monotonic_time now) const;
  /// All changes up to `revision` were sent. What has to be sent again is given
  /// twice as long each time, until the watcher gets on.
  void sent(revision_number revision, monotonic_time now);

 private:
  /// What was sent is taken for lost after this time. 4,000 new
  /// routes take a gateway 32 ms of a core; a change has to be in force within
  /// 4 s.
  static constexpr std::chrono::milliseconds first_patience{2000};

  bool under_way(monotonic_time now) const;

  revision_number held_ = 0;
  revision_number sent_ = 0;
  /// Since when what is under way has brought the watcher no further.
  monotonic_time waiting_since_;
  std::chrono::milliseconds patience_ = first_patience;
};

}  // namespace trestlepost::config

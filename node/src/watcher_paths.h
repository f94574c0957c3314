// Chooses the network path to a watcher of the configuration: direct, or
// relayed by a control node that forwards its polls.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

/// Determines from the polls of one watcher over which paths it can be reached.
/// Makes decisions only; config_watchers sends the messages.
class watcher_paths {
 public:
  /// Whether a message is sent to the watcher itself or to the node that relays
  /// it.
  enum class path { direct, relayed };

  explicit watcher_paths(monotonic_time now) : first_poll_at_(now) {}

  /// Records a poll of the watcher at `address`. `via` is the address of the
  /// node that forwarded it, or empty for a direct poll.
  void record_poll(const std::string& address, const std::string& via,
                   monotonic_time now);

  /// Whether a path has been determined yet.
  bool is_known(monotonic_time now) const;
  /// The preferred path.
  path preferred(monotonic_time now) const;
  /// All paths that may reach the watcher, for messages that were lost on the
  /// preferred one.
  std::vector<path> candidates(monotonic_time now) const;
  /// The paths over which to send again what may have been lost with the
  /// connection to the peer at `lost`; empty if it wasn't used for this
  /// watcher.
  std::vector<path> after_loss(const std::string& lost,
                               monotonic_time now) const;

  const std::string& address() const { return address_; }
  const std::string& via() const { return via_; }

 private:
  bool is_direct(monotonic_time now) const;

  std::string address_;
  std::string via_;
  monotonic_time first_poll_at_;
  /// Time of the last direct poll.
  std::optional<monotonic_time> last_direct_poll_at_;
};

}  // namespace trestlepost::node

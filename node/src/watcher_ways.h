// The ways by which a node that watches the configuration is reached: directly,
// or through a control node that passes its polls on.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"

namespace trestlepost::node {

/// Learns from the polls of one watcher which way it is reached. The decisions
/// only; config_watchers sends.
class watcher_ways {
 public:
  /// Where a message is written to, and how it reaches the watcher from there.
  enum class way { direct, passed_on };

  explicit watcher_ways(monotonic_time now) : first_at_(now) {}

  /// A poll came; `via` names the address of the node that passed it on, or
  /// is empty.
  void polled(const std::string& address, const std::string& via,
              monotonic_time now);

  /// Whether it is known yet which way the watcher is reached.
  bool known(monotonic_time now) const;
  /// The way to send by.
  way best(monotonic_time now) const;
  /// All ways that may reach it: for what was lost on the best one.
  std::vector<way> all(monotonic_time now) const;
  /// The connection to the peer at `lost` was lost: the ways by which to send
  /// again what may have been lost with it, or none.
  std::vector<way> after_loss(const std::string& lost,
                              monotonic_time now) const;

  const std::string& address() const { return address_; }
  const std::string& via() const { return via_; }

 private:
  bool is_direct(monotonic_time now) const;

  std::string address_;
  std::string via_;
  monotonic_time first_at_;
  /// When it polled this node itself last.
  std::optional<monotonic_time> direct_at_;
};

}  // namespace trestlepost::node

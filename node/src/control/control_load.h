// Counts what the nodes that watch the configuration ask of a control node, and
// logs it each second after a start or a change of the leader, when all of them
// ask at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/transport/peer_links.h"

namespace trestlepost::node {

/// Counters since the start of the process.
struct control_counters {
  /// Polls that arrived, those that other control nodes forwarded included.
  std::uint64_t polls = 0;
  std::uint64_t forwarded_polls = 0;
  /// Polls that this node passed on to the leader.
  std::uint64_t passed_on = 0;
  /// Polls that this node answered as the leader.
  std::uint64_t answers = 0;
  /// Entries of the node directory in these answers.
  std::uint64_t directory_entries = 0;
  std::uint64_t lease_lapses = 0;
};

class control_load {
 public:
  explicit control_load(const transport::peer_links& links) : links_(links) {}

  control_counters& counters() { return counters_; }
  const control_counters& counters() const { return counters_; }
  /// Logs the load while `leader` is new. Call it at every tick.
  void tick(const std::string& leader, bool leads, monotonic_time now);

 private:
  void log(bool leads, monotonic_time now) const;

  const transport::peer_links& links_;
  control_counters counters_;
  control_counters logged_;
  transport::peer_traffic logged_traffic_;
  std::chrono::milliseconds logged_cpu_time_{};
  std::string leader_;
  monotonic_time log_until_;
  std::optional<monotonic_time> logged_at_;
};

}  // namespace trestlepost::node

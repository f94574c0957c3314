// State of this node according to the node chart: whether it serves callers,
// and whether it may exchange requests with other regions.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "trestlepost/base/clock.h"
#include "trestlepost/charts/chart.h"

namespace trestlepost::membership {

/// States of a node: those of the node chart, and `outdated`.
namespace node_states {
inline constexpr char starting[] = "starting";
inline constexpr char ready[] = "ready";
inline constexpr char isolated[] = "isolated";
inline constexpr char draining[] = "draining";
/// In place of `ready` and `isolated` while live nodes have had a newer
/// configuration for too long; the node serves no requests.
inline constexpr char outdated[] = "outdated";
}  // namespace node_states

/// The states, events and guards that the code provides to a node chart.
charts::chart_interface node_chart_interface();

struct node_state_options {
  /// Time for which a confirmation of the configuration is valid.
  std::chrono::milliseconds config_lease{5000};
  /// Time to wait for the first confirmation before the node serves from the
  /// stored copy as isolated.
  std::chrono::milliseconds startup_wait{5000};
  /// Time after a start in which a node may count as catching up. After kills
  /// of all nodes, gateways were confirmed by a leader 1.1 to 1.8 s after their
  /// start.
  std::chrono::milliseconds catch_up_time{2000};
  /// Time after the first confirmation within which a node receives the state
  /// of other regions.
  std::chrono::milliseconds confirmation_settling_time{500};
  /// A gap of this length between two ticks counts as a suspension of the
  /// process. After shorter gaps endpoint data is no older than it can be
  /// between two updates anyway.
  std::chrono::milliseconds suspension_threshold{1000};
  /// Time after a suspension in which the node waits for a leader's
  /// confirmation before it continues without. A confirmation takes one round
  /// trip, at most 160 ms as measured. Pending requests have already waited a
  /// second in the node's sockets, and the shortest routes allow 1.2 s.
  std::chrono::milliseconds suspension_wait{250};
};

/// Runs the node chart on confirmations, ticks and stop orders.
class node_state {
 public:
  node_state(charts::chart chart, node_state_options options,
             monotonic_time now);

  /// A leader has confirmed that the configuration was current at
  /// `requested_at`, the time at which this node sent its request.
  void confirm(monotonic_time requested_at, monotonic_time now);
  void order_stop();
  /// Sets whether live nodes have had a newer configuration for too long.
  void set_outdated(bool outdated);
  void tick(monotonic_time now, bool has_configuration);

  std::string_view name() const;
  bool is(std::string_view state) const { return name() == state; }
  /// Whether this node accepts new requests of its own callers.
  bool serves_callers() const;
  /// Whether requests may be exchanged with other regions.
  bool crosses_regions() const { return is(node_states::ready); }
  bool confirmed_at(monotonic_time now) const;
  /// The time at which the configuration was last known to be current, if a
  /// leader has confirmed it.
  std::optional<monotonic_time> last_confirmed_at() const;
  /// Whether this node was suspended and no leader has confirmed its
  /// configuration since. Changes made during the suspension may still be
  /// unread.
  bool is_behind(monotonic_time now) const;
  /// Whether this node is behind, or has started recently and has had no
  /// leader's confirmation yet or only just. Missing data may arrive at any
  /// time.
  bool is_catching_up(monotonic_time now) const;
  /// As `crosses_regions`, but also lets a stopping node finish its accepted
  /// requests.
  bool may_cross_regions(monotonic_time now) const {
    return crosses_regions() ||
           (is(node_states::draining) && confirmed_at(now));
  }

 private:
  void handle(const std::string& event, bool has_configuration);
  /// Logs a change of the state from `from`, if there was one.
  void log_change(std::string_view from, const std::string& cause) const;

  charts::chart chart_;
  node_state_options options_;
  std::string state_;  // of the chart
  bool outdated_ = false;
  monotonic_time started_at_;
  monotonic_time confirmed_until_;
  std::optional<monotonic_time> first_confirmed_at_;
  std::optional<monotonic_time> last_tick_;
  std::optional<monotonic_time> resumed_at_;  // until a leader's confirmation
};

}  // namespace trestlepost::membership

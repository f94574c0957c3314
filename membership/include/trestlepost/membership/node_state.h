// This node's own state, by the node chart.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"
#include "trestlepost/charts/chart.h"

namespace trestlepost::membership {

/// States of the node chart that the code asks about.
namespace node_states {
inline constexpr char starting[] = "starting";
inline constexpr char ready[] = "ready";
inline constexpr char isolated[] = "isolated";
inline constexpr char draining[] = "draining";
}  // namespace node_states

/// The part of a node chart that the code offers.
charts::chart_interface node_chart_interface();

struct node_state_options {
  /// Time for which a confirmation of the configuration holds.
  std::chrono::milliseconds config_lease{5000};
  /// Time to wait for a first confirmation before serving from the stored
  /// copy, isolated.
  std::chrono::milliseconds startup_wait{5000};
  /// For so long after its start a node is taken to be learning. After kills
  /// of all nodes a leader confirmed gateways 1.1 to 1.8 s after their start.
  std::chrono::milliseconds learning_time{2000};
  /// After its first confirmation it hears of other regions within this time.
  std::chrono::milliseconds settling_time{500};
  /// A node whose ticks lie so far apart has stood still: so old is at times
  /// what it knows of endpoints anyway, by the interval at which it is told.
  std::chrono::milliseconds standstill{1000};
  /// Then it waits so long to hear from a leader, and goes on without. An
  /// answer takes one round trip, 160 ms at most where it was measured; the
  /// requests that wait have spent a second in its sockets already, and the
  /// shortest routes allow 1.2 s.
  std::chrono::milliseconds standstill_wait{250};
};

class node_state {
 public:
  node_state(charts::chart chart, node_state_options options,
             monotonic_time now);

  /// The leader confirmed that the configuration was current at `asked_at`,
  /// the time at which this node asked.
  void confirm(monotonic_time asked_at, monotonic_time now);
  void order_stop();
  void tick(monotonic_time now, bool has_configuration);

  const std::string& name() const { return state_; }
  bool is(const char* state) const { return state_ == state; }
  /// Whether new requests of this node's own callers are taken.
  bool serves_callers() const;
  /// Whether requests may cross to or from other regions.
  bool crosses_regions() const { return is(node_states::ready); }
  bool confirmed_at(monotonic_time now) const;
  /// Whether this node stood still and no leader has confirmed its
  /// configuration since: what changed meanwhile may still be unread.
  bool is_behind(monotonic_time now) const;
  /// Whether this node is behind, or started not long ago and no leader has
  /// confirmed its configuration yet, or only just: what it lacks may come any
  /// moment.
  bool is_learning(monotonic_time now) const;
  /// As `crosses_regions`, but a node that stops still ends what it has taken.
  bool may_cross(monotonic_time now) const {
    return crosses_regions() ||
           (is(node_states::draining) && confirmed_at(now));
  }

 private:
  void handle(const std::string& event, bool has_configuration);

  charts::chart chart_;
  node_state_options options_;
  std::string state_;
  monotonic_time started_at_;
  monotonic_time confirmed_until_;
  std::optional<monotonic_time> first_confirmed_at_;
  std::optional<monotonic_time> last_tick_;
  std::optional<monotonic_time> resumed_at_;  // until it is confirmed
};

}  // namespace trestlepost::membership

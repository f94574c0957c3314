// Records the orders that evacuate a zone and put it back into service, and
// checks that the last acknowledged one is in force.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "plan_record.h"

namespace trestlepost::soak {

/// A change of the zone's state as the audit trail tells it.
struct zone_change {
  std::chrono::system_clock::time_point at;
  bool evacuated = false;
};

/// A request that arrived in the zone.
struct zone_arrival {
  std::chrono::system_clock::time_point at;
  std::string gateway;  // IP address
};

/// Orders follow one another: each is repeated until it is acknowledged.
class evacuation_record {
 public:
  /// Time from an acknowledgement until no request may reach the zone: from
  /// gateways in touch, and while control nodes are faulty.
  static constexpr std::chrono::milliseconds max_delay{5000};
  static constexpr std::chrono::milliseconds max_unstable_delay{13'000};

  explicit evacuation_record(violation_list& violations)
      : violations_(violations) {}

  void record_sent(bool evacuated, std::chrono::system_clock::time_point at);
  /// Records the acknowledgement of the order that was sent last.
  void record_acknowledged(std::chrono::system_clock::time_point at);

  /// Checks that each change was made by the order that was being sent at that
  /// time.
  void check_changes(const std::vector<zone_change>& changes);
  /// Checks that no request arrived in the zone while it was evacuated.
  /// `in_touch` returns whether a gateway, and all control nodes, had no fault
  /// lately; `is_calm` the same of the gateway alone.
  void check_arrivals(const std::vector<zone_arrival>& arrivals,
                      const std::function<bool(const zone_arrival&)>& in_touch,
                      const std::function<bool(const zone_arrival&)>& is_calm);

  int acknowledgements() const { return acknowledgements_; }
  int late_arrivals() const { return late_arrivals_; }

 private:
  struct order {
    bool evacuated = false;
    std::chrono::system_clock::time_point sent_at;
    std::optional<std::chrono::system_clock::time_point> acknowledged_at;
  };

  /// Returns the order that was sent last before `at`, or null.
  const order* find_order(std::chrono::system_clock::time_point at) const;

  violation_list& violations_;
  std::vector<order> orders_;  // oldest first
  int acknowledgements_ = 0;
  int late_arrivals_ = 0;
};

}  // namespace trestlepost::soak

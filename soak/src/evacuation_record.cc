#include "evacuation_record.h"

#include <algorithm>

namespace trestlepost::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

const char* state_name(bool evacuated) {
  return evacuated ? "evacuated" : "in service";
}

}  // namespace

void evacuation_record::record_sent(bool evacuated,
                                    system_clock::time_point at) {
  orders_.push_back({evacuated, at, std::nullopt});
}

void evacuation_record::record_acknowledged(system_clock::time_point at) {
  orders_.back().acknowledged_at = at;
  ++acknowledgements_;
}

const evacuation_record::order* evacuation_record::find_order(
    system_clock::time_point at) const {
  const auto next =
      std::upper_bound(orders_.begin(), orders_.end(), at,
                       [](system_clock::time_point t, const order& it) {
                         return t < it.sent_at;
                       });
  return next == orders_.begin() ? nullptr : &*(next - 1);
}

void evacuation_record::check_changes(const std::vector<zone_change>& changes) {
  for (const zone_change& it : changes) {
    // The audit trail counts in milliseconds.
    const order* given = find_order(it.at + milliseconds(1));
    const bool open = given != nullptr && (!given->acknowledged_at ||
                                           it.at <= *given->acknowledged_at);
    if (open && given->evacuated == it.evacuated) continue;
    const milliseconds late = given != nullptr && given->acknowledged_at
                                  ? std::chrono::duration_cast<milliseconds>(
                                        it.at - *given->acknowledged_at)
                                  : milliseconds(0);
    violations_.push_back(std::string("the zone became ") +
                          state_name(it.evacuated) + " by no order, " +
                          std::to_string(late.count()) +
                          " ms after the last one was acknowledged");
  }
}

void evacuation_record::check_arrivals(
    const std::vector<zone_arrival>& arrivals,
    const std::function<bool(const zone_arrival&)>& in_touch,
    const std::function<bool(const zone_arrival&)>& is_calm) {
  for (const zone_arrival& it : arrivals) {
    const order* last = find_order(it.at);
    if (last == nullptr || !last->evacuated || !last->acknowledged_at) continue;
    const bool late = it.at > *last->acknowledged_at + max_delay;
    const bool very_late = it.at > *last->acknowledged_at + max_unstable_delay;
    if ((late && in_touch(it)) || (very_late && is_calm(it))) ++late_arrivals_;
  }
  if (late_arrivals_ > 0) {
    violations_.push_back(std::to_string(late_arrivals_) +
                          " requests arrived in an evacuated zone");
  }
}

}  // namespace trestlepost::soak

// Tells whether a gateway has been free of faults for a while, so that it must
// know what other nodes do.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "deployment.h"
#include "schedule.h"

namespace trestlepost::soak {

/// Time after a fault in which gateways may not know what others do.
inline constexpr std::chrono::milliseconds contact_time{5000};

/// Returns whether the gateway had no fault lately. `at`: since the schedule
/// began.
bool is_calm(const platform::test::deployment& target,
             const std::vector<fault>& schedule, const std::string& gateway_ip,
             std::chrono::milliseconds at);

/// Returns whether neither the gateway nor a control node had a fault lately.
bool is_in_touch(const platform::test::deployment& target,
                 const std::vector<fault>& schedule,
                 const std::string& gateway_ip, std::chrono::milliseconds at);

}  // namespace trestlepost::soak

// Injects the faults of a schedule into a deployment.
#pragma once

#include <vector>

#include "deployment.h"
#include "schedule.h"

namespace trestlepost::soak {

/// Injects the faults at their times; returns when all have ended.
void inject_faults(platform::test::deployment& target,
                   const std::vector<fault>& schedule);

}  // namespace trestlepost::soak

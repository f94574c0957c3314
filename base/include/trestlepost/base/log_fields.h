// Texts of fields of log lines.
#pragma once

#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost {

/// Returns the time from `from` to `to` in whole milliseconds.
std::string ms_between(monotonic_time from, monotonic_time to);

}  // namespace trestlepost

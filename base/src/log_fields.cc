#include "trestlepost/base/log_fields.h"

#include <chrono>

namespace trestlepost {

std::string ms_between(monotonic_time from, monotonic_time to) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count());
}

}  // namespace trestlepost

#include "contact.h"

#include <algorithm>

namespace trestlepost::soak {
namespace {

using platform::test::deployment;
using std::chrono::milliseconds;

/// Returns whether the fault, or the contact time after it, includes `at`.
bool disturbs(const fault& it, milliseconds at) {
  return it.begin <= at && at < it.end + contact_time;
}

bool is_endpoint(const std::string& target) {
  return target.starts_with("i-");
}

bool is_control_node(const std::string& target) {
  return target.starts_with("control-");
}

}  // namespace

bool is_calm(const deployment& target, const std::vector<fault>& schedule,
             const std::string& gateway_ip, milliseconds at) {
  return std::none_of(schedule.begin(), schedule.end(), [&](const fault& it) {
    return !is_endpoint(it.target) && disturbs(it, at) &&
           target.ip_of(it.target) == gateway_ip;
  });
}

bool is_in_touch(const deployment& target, const std::vector<fault>& schedule,
                 const std::string& gateway_ip, milliseconds at) {
  const bool control_fault =
      std::any_of(schedule.begin(), schedule.end(), [at](const fault& it) {
        return is_control_node(it.target) && disturbs(it, at);
      });
  return !control_fault && is_calm(target, schedule, gateway_ip, at);
}

}  // namespace trestlepost::soak

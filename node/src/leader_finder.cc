#include "leader_finder.h"

namespace trestlepost::node {

bool leader_finder::set_leader(const std::string& leader, monotonic_time now) {
  if (leader.empty() || leader == leader_) return false;
  leader_ = leader;
  // A new leader has the full timeout to answer.
  last_confirmed_at_ = now;
  return true;
}

const std::string& leader_finder::leader(monotonic_time now) {
  if (!leader_.empty() && now > last_confirmed_at_ + timeout_) leader_.clear();
  return leader_;
}

}  // namespace trestlepost::node

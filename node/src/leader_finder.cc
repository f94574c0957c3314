#include "leader_finder.h"

namespace trestlepost::node {

bool leader_finder::learn(const std::string& leader, monotonic_time now) {
  if (leader.empty() || leader == leader_) return false;
  leader_ = leader;
  // A new leader has the full timeout to answer.
  heard_at_ = now;
  return true;
}

const std::string& leader_finder::leader(monotonic_time now) {
  if (!leader_.empty() && now > heard_at_ + patience_) leader_.clear();
  return leader_;
}

std::string leader_finder::next_of(const std::vector<std::string>& all) {
  return all.empty() ? "" : all[next_++ % all.size()];
}

}  // namespace trestlepost::node

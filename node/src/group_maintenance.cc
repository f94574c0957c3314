#include "group_maintenance.h"

#include <set>
#include <utility>

#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

// How often missing connections to members are opened. The first time is at
// startup, since the first election would otherwise wait for connections.
constexpr std::chrono::milliseconds connect_interval{1000};

}  // namespace

void group_maintenance::keep_members_connected(const consensus::replica& core) {
  const monotonic_time now = context_.clock.now();
  if (now < next_connect_) return;
  next_connect_ = now + connect_interval;
  std::set<std::string> addresses;
  for (const consensus::member& it : core.members()) {
    addresses.insert(address_of_(it.id.node));
  }
  addresses.erase(context_.self.peer_address);
  context_.links.keep_open(std::move(addresses));
}

void group_maintenance::log_leader_change(const consensus::replica& core) {
  const std::optional<consensus::replica_id> now = core.leader();
  std::string leader = now ? now->node : "";
  if (leader == leader_) return;
  leader_ = std::move(leader);
  log_event(log_level::info, "leader-changed",
            {{"leader", leader_}, {"term", std::to_string(core.term())}});
}

void group_maintenance::tick(const consensus::replica& core) {
  log_leader_change(core);
  keep_members_connected(core);
}

}  // namespace trestlepost::node

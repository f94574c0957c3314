#include "trestlepost/consensus/group_growth.h"

#include <algorithm>

namespace trestlepost::consensus {
namespace {

using std::chrono::milliseconds;

// A founding leader that has enough voters waits until no node has asked to
// join for `quiet_founding`. Without enough voters it continues after
// `longest_founding` with those that have joined.
constexpr milliseconds quiet_founding{1000};
constexpr milliseconds longest_founding{6000};

}  // namespace

void group_growth::observe(group_host& host, monotonic_time now, bool leads,
                           const std::string& own_address) {
  if (!leads) {
    leading_since_.reset();
    return;
  }
  if (!leading_since_) leading_since_ = now;
  list_where_moved(host, now, host.core().self(), own_address);
}

void group_growth::list_where_moved(group_host& host, monotonic_time now,
                                    const replica_id& id,
                                    const std::string& address) {
  if (!host.core().is_leader()) return;
  const member_list& members = host.core().members();
  const bool moved = std::any_of(
      members.begin(), members.end(), [&id, &address](const member& it) {
        return it.id == id && !it.address.empty() && it.address != address;
      });
  // Stores the new address in the member list; otherwise it would be lost when
  // all processes stop.
  if (moved) host.handle_join(now, id, address);
}

void group_growth::heard(group_host& host, monotonic_time now,
                         const replica_id& from, const std::string& address) {
  if (address.empty()) return;
  heard_from_[from.node] = address;
  list_where_moved(host, now, from, address);
}

std::string group_growth::address_of(const group_host& host,
                                     const std::string& node) const {
  const auto heard = heard_from_.find(node);
  if (heard != heard_from_.end()) return heard->second;
  const member* member = host.find_member(node);
  return member == nullptr ? "" : member->address;
}

bool group_growth::handle_join(group_host& host, monotonic_time now,
                               const replica_id& joiner,
                               const std::string& address) {
  // An earlier machine of this name may have sent from another address.
  if (!address.empty()) heard_from_[joiner.node] = address;
  if (!host.core().is_leader()) return false;
  last_join_heard_ = now;
  host.handle_join(now, joiner, address);
  return true;
}

bool group_growth::has_grown(const group_host& host, monotonic_time now,
                             std::size_t least_voters) const {
  // This replica has led for less than one tick, so no node can have joined
  // yet.
  if (!leading_since_) return false;
  if (now >= *leading_since_ + longest_founding) return true;
  const member_list& members = host.core().members();
  const std::ptrdiff_t voters =
      std::count_if(members.begin(), members.end(),
                    [](const member& it) { return it.voter; });
  const bool enough = static_cast<std::size_t>(voters) >= least_voters;
  const bool quiet = now >= last_join_heard_ + quiet_founding &&
                     now >= *leading_since_ + quiet_founding;
  return enough && quiet && !host.has_learners();
}

}  // namespace trestlepost::consensus

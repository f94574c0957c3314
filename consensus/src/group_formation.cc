#include "trestlepost/consensus/group_formation.h"

#include <algorithm>

namespace trestlepost::consensus {
namespace {

using std::chrono::milliseconds;

// A founding leader that has enough voters waits until no node has requested
// to join for `founding_quiet_period`. Without enough voters it continues after
// `founding_timeout` with those that have joined.
constexpr milliseconds founding_quiet_period{1000};
constexpr milliseconds founding_timeout{6000};

}  // namespace

void group_formation::update(group_host& host, monotonic_time now, bool leads,
                             const std::string& own_address) {
  if (!leads) {
    leading_since_.reset();
    return;
  }
  if (!leading_since_) leading_since_ = now;
  update_member_address(host, now, host.core().self(), own_address);
}

void group_formation::update_member_address(group_host& host,
                                            monotonic_time now,
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

void group_formation::record_address(group_host& host, monotonic_time now,
                                     const replica_id& from,
                                     const std::string& address) {
  if (address.empty()) return;
  observed_addresses_[from.node] = address;
  update_member_address(host, now, from, address);
}

std::string group_formation::address_of(const group_host& host,
                                        const std::string& node) const {
  const auto it = observed_addresses_.find(node);
  if (it != observed_addresses_.end()) return it->second;
  const member* member = host.find_member(node);
  return member == nullptr ? "" : member->address;
}

bool group_formation::handle_join(group_host& host, monotonic_time now,
                                  const replica_id& joiner,
                                  const std::string& address) {
  // An earlier VM with this node name may have sent from another address.
  if (!address.empty()) observed_addresses_[joiner.node] = address;
  if (!host.core().is_leader()) return false;
  last_join_at_ = now;
  host.handle_join(now, joiner, address);
  return true;
}

bool group_formation::is_formed(const group_host& host, monotonic_time now,
                                std::size_t min_voters) const {
  // This replica has led for less than one tick, so no node can have joined
  // yet.
  if (!leading_since_) return false;
  if (now >= *leading_since_ + founding_timeout) return true;
  const member_list& members = host.core().members();
  const std::ptrdiff_t voters =
      std::count_if(members.begin(), members.end(),
                    [](const member& it) { return it.voter; });
  const bool enough = static_cast<std::size_t>(voters) >= min_voters;
  const bool quiet = now >= last_join_at_ + founding_quiet_period &&
                     now >= *leading_since_ + founding_quiet_period;
  return enough && quiet && !host.has_learners();
}

}  // namespace trestlepost::consensus

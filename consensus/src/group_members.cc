// Members of a group, which group_host.h declares: joins, promotions and
// removals.
#include <algorithm>
#include <utility>

#include "trestlepost/base/log.h"
#include "trestlepost/consensus/group_host.h"

namespace trestlepost::consensus {

bool group_host::is_member() const {
  for (const member& it : replica_->members()) {
    if (it.id == self_) return true;
  }
  return false;
}

bool group_host::needs_join(monotonic_time now) const {
  if (failure_ || replica_->is_leader()) return false;
  if (!is_member()) return true;
  constexpr int leader_timeouts = 3;
  return replica_->last_leader_message_at() +
             leader_timeouts * options_.replica.election_timeout <
         now;
}

void group_host::set_desired_voters(std::vector<std::string> nodes) {
  desired_voters_ = std::move(nodes);
}

void group_host::set_admitted_learners(std::vector<std::string> nodes) {
  admitted_learners_ = std::move(nodes);
}

const member* group_host::find_member(const std::string& node) const {
  const member* out = nullptr;
  for (const member& it : replica_->members()) {
    if (it.id.node != node) continue;
    const bool preferred =
        out == nullptr || is_running(it) || !is_running(*out);
    if (preferred) out = &it;
  }
  return out;
}

bool group_host::has_learners() const {
  const member_list& members = replica_->members();
  return std::any_of(members.begin(), members.end(),
                     [](const member& it) { return !it.voter; });
}

bool group_host::may_join(const std::string& node) const {
  return is_desired_voter(node) ||
         std::find(admitted_learners_.begin(), admitted_learners_.end(),
                   node) != admitted_learners_.end();
}

bool group_host::is_desired_voter(const std::string& node) const {
  if (open_membership_) return true;
  return std::find(desired_voters_.begin(), desired_voters_.end(), node) !=
         desired_voters_.end();
}

bool group_host::update_address(const replica_id& joiner,
                                const std::string& address) {
  member_list next = replica_->members();
  const auto it =
      std::find_if(next.begin(), next.end(),
                   [&joiner](const member& one) { return one.id == joiner; });
  if (it == next.end()) return false;
  if (address.empty() || it->address == address) return true;
  it->address = address;
  const result<log_index> proposed = replica_->propose_members(next);
  if (proposed) {
    log_event(log_level::info, "member-moved",
              {{"replica", joiner.node}, {"address", address}});
  }
  return true;
}

void group_host::handle_join(monotonic_time now, const replica_id& joiner,
                             const std::string& address) {
  if (failure_ || !replica_->is_leader() || !may_join(joiner.node)) return;
  if (update_address(joiner, address)) {
    tick(now);
    return;
  }
  member_list next = replica_->members();
  std::erase_if(next, [&joiner](const member& it) {
    return it.id.node == joiner.node && !it.voter;
  });
  next.push_back({joiner, false, address});
  const result<log_index> proposed = replica_->propose_members(next);
  if (proposed) {
    log_event(log_level::info, "learner-added", {{"replica", joiner.node}});
  }
  tick(now);
}

bool group_host::has_voter(const std::string& node) const {
  const member_list& members = replica_->members();
  return std::any_of(members.begin(), members.end(), [&node](const member& it) {
    return it.voter && it.id.node == node;
  });
}

bool group_host::ready_to_vote(monotonic_time now,
                               const member& learner) const {
  // While the previous incarnation of this node is a voter, promoting the new
  // one would enlarge the quorum without adding a reachable voter: two of four
  // voters would be the same VM.
  if (has_voter(learner.id.node)) return false;
  const std::optional<monotonic_time> last_reply =
      replica_->last_reply_at(learner.id);
  return last_reply && *last_reply + options_.member_timeout > now &&
         replica_->caught_up(learner.id);
}

bool group_host::is_running(const member& it) const {
  return it.id == self_ || replica_->last_reply_at(it.id).has_value();
}

bool group_host::is_superfluous_learner(monotonic_time now,
                                        const member& it) const {
  if (it.voter || is_running(it)) return false;
  if (!is_silent(now, it, options_.member_timeout)) return false;
  const member_list& members = replica_->members();
  return std::any_of(members.begin(), members.end(),
                     [this, &it](const member& other) {
                       return other.id.node == it.id.node && is_running(other);
                     });
}

bool group_host::is_superseded(const member& it) const {
  const member_list& members = replica_->members();
  // Members stand in the order of their admission, and a node returns with a
  // new incarnation only after the old one has stopped. This needs no reply of
  // the old one, which a new leader has never received.
  const auto own = std::find(members.begin(), members.end(), it);
  return std::any_of(own, members.end(), [this, &it](const member& later) {
    const bool same_node = later.id.node == it.id.node;
    return same_node && later.id != it.id && is_running(later);
  });
}

bool group_host::is_silent(monotonic_time now, const member& it,
                           std::chrono::milliseconds timeout) const {
  const std::optional<monotonic_time> last_reply =
      replica_->last_reply_at(it.id);
  const monotonic_time since =
      last_reply ? *last_reply : replica_->replicating_since(it.id);
  return since + timeout < now;
}

bool group_host::is_removable(monotonic_time now, const member& it) const {
  if (!is_silent(now, it, open_membership_->removal_timeout)) return false;
  if (!it.voter) return true;
  // An unreachable voter is removed only if enough other voters are live.
  std::size_t live = 0;
  for (const member& other : replica_->members()) {
    if (!other.voter || other.id == it.id) continue;
    const bool is_live =
        other.id == self_ || !is_silent(now, other, options_.member_timeout);
    if (is_live) ++live;
  }
  return live >= open_membership_->min_voters;
}

bool group_host::must_remove(monotonic_time now, const member& it) const {
  if (it.id == self_) return false;
  if (is_superseded(it) || is_superfluous_learner(now, it)) return true;
  if (open_membership_) return is_removable(now, it);
  if (is_desired_voter(it.id.node)) return false;
  return it.voter || is_silent(now, it, options_.member_timeout);
}

std::optional<member_list> group_host::next_members(monotonic_time now) const {
  const member_list& members = replica_->members();
  // Removals come first: they need no more voters than before, while an
  // addition would require the new member besides all remaining ones.
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (!must_remove(now, members[i])) continue;
    member_list next = members;
    next.erase(next.begin() + static_cast<std::ptrdiff_t>(i));
    return next;
  }
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (members[i].voter || !is_desired_voter(members[i].id.node)) continue;
    if (!ready_to_vote(now, members[i])) continue;
    member_list next = members;
    next[i].voter = true;
    return next;
  }
  return std::nullopt;
}

void group_host::adjust_members(monotonic_time now) {
  const bool has_no_target = desired_voters_.empty() && !open_membership_;
  if (has_no_target || replica_->members_change_pending() ||
      !replica_->has_committed_in_term()) {
    return;
  }
  const std::optional<member_list> next = next_members(now);
  if (!next) return;
  const result<log_index> proposed = replica_->propose_members(*next);
  if (proposed) log_event(log_level::info, "group-members-changed");
}

}  // namespace trestlepost::consensus

// Elections, terms and membership of a replica. Replication of entries is in
// replication.cc.
#include "trestlepost/consensus/replica.h"

#include <algorithm>
#include <utility>

namespace trestlepost::consensus {
namespace {

// The first election deadlines of voters that start at the same time are spaced
// by the election timeout divided by this number, so that the first candidate's
// request reaches the others before their own deadlines.
constexpr int first_deadlines_per_timeout = 5;

}  // namespace

replica::replica(replica_id self, replica_options options, durable_state state,
                 random_source& random, monotonic_time now)
    : self_(std::move(self)),
      options_(options),
      random_(random),
      now_(now),
      hard_(std::move(state.hard)),
      base_(std::move(state.base)),
      log_(std::move(state.entries)),
      commit_(base_.index),
      delivered_(base_.index),
      last_leader_message_at_(now) {
  durable_ = last_index();
  durable_after_write_ = durable_;
  durable_after_taken_ = durable_;
  refresh_members();
  set_first_election_deadline();
}

result<void> replica::found(std::string group_id, member_list members) {
  if (!hard_.group_id.empty() || last_index() != 0) {
    return fail(error_kind::conflict, "this replica already belongs to a group",
                "use the group that exists; `trestlepost status` shows it");
  }
  hard_.group_id = std::move(group_id);
  hard_.term = 1;
  base_.index = 1;
  base_.term = 1;
  base_.members = std::move(members);
  commit_ = 1;
  delivered_ = 1;
  durable_after_write_ = 1;
  writes_.base = base_;
  writes_.hard = hard_;
  refresh_members();
  election_deadline_ = now_;
  deadline_passed_ = true;  // no other replica can lead
  return {};
}

result<void> replica::recover_alone(std::string group_id) {
  if (hard_.group_id.empty()) {
    return fail(error_kind::not_found, "this replica belongs to no group",
                "recover on a node that kept its disk");
  }
  if (has_active_leader()) {
    return fail(error_kind::conflict, "the group has a leader",
                "wait until the leader has added the lost nodes again");
  }
  hard_.group_id = std::move(group_id);
  hard_.term += 1;
  hard_.voted_for = self_;
  writes_.hard = hard_;
  // As the only voter it is the majority, so this entry commits the whole log.
  append(entry_type::membership, to_text(to_json(member_list{{self_, true}})));
  election_deadline_ = now_;
  deadline_passed_ = true;  // no other replica can lead
  return {};
}

void replica::tick(monotonic_time now) {
  now_ = now;
  if (hard_.group_id.empty()) return;
  if (role_ == role::leader) {
    check_quorum();
    if (role_ == role::leader && now_ >= heartbeat_due_) start_round();
    return;
  }
  if (now_ < election_deadline_ || !is_voter(self_)) {
    deadline_passed_ = false;
    return;
  }
  const bool is_only_voter = quorum() == 1;  // there are no peers to wait for
  if (is_only_voter || is_second_overdue_tick()) start_pre_vote();
}

bool replica::is_second_overdue_tick() {
  // A process that was suspended notices the passed deadline before it reads
  // the messages that arrived in the meantime. It acts on the deadline only at
  // the second tick, after reading them.
  const bool was_overdue = deadline_passed_;
  deadline_passed_ = !was_overdue;
  return was_overdue;
}

void replica::receive(monotonic_time now, const message& in) {
  now_ = now;
  if (!accepts(in)) return;
  if (hard_.group_id.empty()) {
    hard_.group_id = in.group_id;
    writes_.hard = hard_;
  }
  observe_term(in);
  std::visit([this, &in](const auto& body) { handle(body, in); }, in.body);
}

bool replica::accepts(const message& in) {
  if (in.to != self_) return false;
  if (!hard_.group_id.empty()) return in.group_id == hard_.group_id;
  // An empty replica joins the group of the first message it receives.
  return !in.group_id.empty();
}

void replica::observe_term(const message& in) {
  if (in.term <= hard_.term) return;
  const vote_request* request = std::get_if<vote_request>(&in.body);
  if (request != nullptr) {
    // While a leader is active, a vote request must not raise the term: a node
    // that was partitioned would depose a working leader.
    if (request->pre_vote || has_active_leader()) return;
  }
  const vote_reply* reply = std::get_if<vote_reply>(&in.body);
  if (reply != nullptr && reply->pre_vote && reply->granted) return;
  become_follower(in.term, std::nullopt);
}

void replica::become_follower(term_number term,
                              std::optional<replica_id> leader) {
  if (term > hard_.term) {
    hard_.term = term;
    hard_.voted_for.reset();
    writes_.hard = hard_;
  }
  role_ = role::follower;
  leader_ = std::move(leader);
  pre_voting_ = false;
  yielded_ = false;
  votes_.clear();
  peers_.clear();
  rounds_.clear();
  reads_.clear();
  reset_election_deadline();
}

void replica::reset_election_deadline() {
  deadline_passed_ = false;
  const std::int64_t base = options_.election_timeout.count();
  const std::uint64_t jitter =
      random_.below(static_cast<std::uint64_t>(base) + 1);
  election_deadline_ = now_ + std::chrono::milliseconds(
                                  base + static_cast<std::int64_t>(jitter));
}

void replica::set_first_election_deadline() {
  std::int64_t position = 0;
  for (const member& it : members_) {
    if (it.id == self_) break;
    if (it.voter) ++position;
  }
  election_deadline_ =
      now_ + options_.election_timeout +
      position * options_.election_timeout / first_deadlines_per_timeout;
}

void replica::set_candidate_deadline() {
  const std::int64_t base = options_.election_timeout.count() / 2;
  const std::uint64_t jitter =
      random_.below(static_cast<std::uint64_t>(base) / 2 + 1);
  deadline_passed_ = false;
  election_deadline_ = now_ + std::chrono::milliseconds(
                                  base + static_cast<std::int64_t>(jitter));
}

bool replica::has_active_leader() const {
  if (role_ == role::leader) return true;
  return now_ < last_leader_message_at_ + options_.election_timeout;
}

void replica::start_pre_vote() {
  role_ = role::candidate;
  leader_.reset();
  pre_voting_ = true;
  votes_ = {self_};
  set_candidate_deadline();
  if (votes_.size() >= quorum()) {
    start_election();
    return;
  }
  request_votes(true);
}

void replica::start_election() {
  pre_voting_ = false;
  hard_.term += 1;
  hard_.voted_for = self_;
  writes_.hard = hard_;
  votes_ = {self_};
  set_candidate_deadline();
  if (votes_.size() >= quorum()) {
    become_leader();
    return;
  }
  request_votes(false);
}

void replica::request_votes(bool pre_vote) {
  const term_number vote_term = pre_vote ? hard_.term + 1 : hard_.term;
  for (const member& it : members_) {
    if (it.id == self_ || !(it.voter || options_.learners_vote)) continue;
    const vote_request body{pre_vote, last_index(), term_at(last_index())};
    messages_.push_back({hard_.group_id, self_, it.id, vote_term, body});
  }
}

bool replica::may_grant(const vote_request& body) const {
  if (options_.skip_log_check) return true;
  const term_number own_term = term_at(last_index());
  if (body.last_term != own_term) return body.last_term > own_term;
  return body.last_index >= last_index();
}

void replica::yield_to(const replica_id& candidate) {
  if (yielded_) return;
  if (pre_voting_) {
    // Of several simultaneous candidates only one continues.
    if (self_ < candidate) return;
    role_ = role::follower;
    pre_voting_ = false;
  }
  yielded_ = true;
  set_candidate_deadline();
}

void replica::handle(const vote_request& body, const message& in) {
  // Whether this replica may vote is decided by the candidate's member list.
  // Its own list may be outdated, and is empty before the first entry.
  bool granted = may_grant(body) && !has_active_leader();
  if (body.pre_vote) {
    granted = granted && in.term > hard_.term;
    if (granted) yield_to(in.from);
    const term_number reply_term = granted ? in.term : hard_.term;
    messages_.push_back({hard_.group_id, self_, in.from, reply_term,
                         vote_reply{true, granted}});
    return;
  }
  granted = granted && in.term == hard_.term;
  granted = granted && (!hard_.voted_for || *hard_.voted_for == in.from);
  if (granted) {
    hard_.voted_for = in.from;
    writes_.hard = hard_;
    reset_election_deadline();
  }
  send(in.from, vote_reply{false, granted});
}

void replica::handle(const vote_reply& body, const message& in) {
  if (role_ != role::candidate || !body.granted) return;
  if (body.pre_vote != pre_voting_) return;
  const term_number expected = pre_voting_ ? hard_.term + 1 : hard_.term;
  if (in.term != expected) return;
  if (!is_voter(in.from) && !options_.learners_vote) return;
  count_vote(in.from);
}

void replica::count_vote(const replica_id& from) {
  votes_.insert(from);
  if (votes_.size() < quorum()) return;
  if (pre_voting_) {
    start_election();
  } else {
    become_leader();
  }
}

replica::progress replica::new_progress() const {
  progress out;
  out.next = last_index() + 1;
  out.first_round = round_ + 1;
  out.replicating_since = now_;
  out.retry_at = now_;
  return out;
}

void replica::become_leader() {
  role_ = role::leader;
  leader_ = self_;
  elected_at_ = now_;
  deadline_passed_ = false;
  peers_.clear();
  rounds_.clear();
  for (const member& it : members_) {
    if (it.id == self_) continue;
    peers_.emplace(it.id, new_progress());
  }
  append(entry_type::noop, {});
  start_round();
}

void replica::check_quorum() {
  std::size_t responsive = is_voter(self_) ? 1 : 0;
  const monotonic_time oldest = now_ - options_.election_timeout;
  if (elected_at_ > oldest) return;
  for (const member& it : members_) {
    if (!it.voter || it.id == self_) continue;
    const std::optional<monotonic_time> at = last_reply_at(it.id);
    if (at && *at > oldest) ++responsive;
  }
  if (responsive >= quorum()) {
    deadline_passed_ = false;
    return;
  }
  if (is_second_overdue_tick()) become_follower(hard_.term, std::nullopt);
}

std::uint64_t replica::quorum_round() const {
  std::vector<std::uint64_t> acked;
  for (const member& it : members_) {
    if (!it.voter) continue;
    if (it.id == self_) {
      acked.push_back(round_);
      continue;
    }
    const auto found = peers_.find(it.id);
    acked.push_back(found == peers_.end() ? 0 : found->second.acked_round);
  }
  if (acked.empty()) return 0;
  std::sort(acked.begin(), acked.end(), std::greater<>());
  return acked[quorum() - 1];
}

bool replica::holds_lease(monotonic_time now) const {
  if (role_ != role::leader) return false;
  const std::uint64_t confirmed = quorum_round();
  // The lease starts when the round was sent, not when replies arrived.
  for (const round_start& it : rounds_) {
    if (it.round != confirmed) continue;
    const std::chrono::milliseconds lease =
        options_.election_timeout * (100 - options_.drift_margin_percent) / 100;
    return now < it.at + lease;
  }
  return false;
}

bool replica::has_committed_in_term() const {
  return role_ == role::leader && term_at(commit_) == hard_.term;
}

bool replica::is_voter(const replica_id& id) const {
  for (const member& it : members_) {
    if (it.id == id) return it.voter;
  }
  return false;
}

bool replica::is_member(const replica_id& id) const {
  for (const member& it : members_) {
    if (it.id == id) return true;
  }
  return false;
}

std::size_t replica::quorum() const {
  std::size_t n = 0;
  for (const member& it : members_) {
    if (it.voter) ++n;
  }
  return n / 2 + 1;
}

bool replica::members_change_pending() const {
  return members_index_ > commit_;
}

bool replica::is_single_change(const member_list& next) const {
  // Quorums of two member lists overlap if their voters differ by at most one.
  std::size_t differences = 0;
  for (const member& it : members_) {
    if (!it.voter) continue;
    const bool is_unchanged =
        std::find(next.begin(), next.end(), it) != next.end();
    if (!is_unchanged) ++differences;
  }
  std::size_t voters = 0;
  for (const member& it : next) {
    if (!it.voter) continue;
    ++voters;
    if (!is_voter(it.id)) ++differences;
  }
  return differences <= 1 && voters > 0;
}

result<log_index> replica::propose_members(const member_list& members) {
  if (role_ != role::leader) {
    return fail(error_kind::not_leader, "this replica is not the leader",
                "send the change to the leader");
  }
  if (members_change_pending() || !has_committed_in_term()) {
    return fail(error_kind::in_progress, "another member change is in progress",
                "try again once it is committed");
  }
  if (!is_single_change(members)) {
    return fail(error_kind::bad_input, "the change affects more than one voter",
                "change one voter at a time");
  }
  append(entry_type::membership, to_text(to_json(members)));
  start_round();
  return last_index();
}

void replica::refresh_members() {
  members_ = base_.members;
  members_index_ = base_.index;
  for (auto it = log_.rbegin(); it != log_.rend(); ++it) {
    if (it->type != entry_type::membership) continue;
    const result<json> parsed = parse_json(it->data);
    if (parsed) members_ = member_list_from(*parsed);
    members_index_ = it->index;
    break;
  }
  if (role_ != role::leader) return;
  for (const member& it : members_) {
    if (it.id == self_ || peers_.contains(it.id)) continue;
    progress peer = new_progress();
    peer.admitted_at = members_index_;
    peers_.emplace(it.id, peer);
  }
  std::erase_if(peers_,
                [this](const std::pair<const replica_id, progress>& it) {
                  return !is_member(it.first);
                });
}

std::optional<monotonic_time> replica::last_reply_at(
    const replica_id& id) const {
  const auto it = peers_.find(id);
  if (it == peers_.end()) return std::nullopt;
  return it->second.reply_at;
}

monotonic_time replica::replicating_since(const replica_id& id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? now_ : it->second.replicating_since;
}

bool replica::caught_up(const replica_id& id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() && it->second.match >= commit_ && commit_ > 0;
}

void replica::send(const replica_id& to, message_body body) {
  messages_.push_back({hard_.group_id, self_, to, hard_.term, std::move(body)});
}

}  // namespace trestlepost::consensus

// Replication of entries by a replica: appends, commits, snapshots and reads.
#include <algorithm>
#include <iterator>
#include <utility>

#include "trestlepost/consensus/replica.h"

namespace trestlepost::consensus {

log_index replica::last_index() const {
  return log_.empty() ? base_.index : log_.back().index;
}

const entry& replica::entry_at(log_index index) const {
  return log_[index - base_.index - 1];
}

term_number replica::term_at(log_index index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last_index()) return 0;
  return entry_at(index).term;
}

result<log_index> replica::propose(entry_type type, std::string data) {
  if (role_ != role::leader) {
    return fail(error_kind::not_leader, "this replica is not the leader",
                "send the command to the leader");
  }
  append(type, std::move(data));
  for (const member& it : members_) {
    if (it.id != self_) replicate_to(it.id, false);
  }
  return last_index();
}

void replica::append(entry_type type, std::string data) {
  entry added{last_index() + 1, hard_.term, type, std::move(data)};
  log_.push_back(added);
  writes_.entries.push_back(std::move(added));
  durable_after_write_ = last_index();
  if (type == entry_type::membership) refresh_members();
}

void replica::truncate_from(log_index index) {
  log_.resize(index - base_.index - 1);
  durable_ = std::min(durable_, index - 1);
  durable_after_write_ = std::min(durable_after_write_, index - 1);
  durable_after_taken_ = std::min(durable_after_taken_, index - 1);
  std::erase_if(writes_.entries,
                [index](const entry& it) { return it.index >= index; });
  if (!writes_.truncate_from || *writes_.truncate_from > index) {
    writes_.truncate_from = index;
  }
  refresh_members();
}

void replica::append_received(const std::vector<entry>& entries) {
  for (const entry& it : entries) {
    if (it.index <= base_.index) continue;
    if (it.index <= last_index()) {
      if (term_at(it.index) == it.term) continue;
      truncate_from(it.index);
    }
    log_.push_back(it);
    writes_.entries.push_back(it);
    durable_after_write_ = it.index;
    if (it.type == entry_type::membership) refresh_members();
  }
}

void replica::start_round() {
  ++round_;
  rounds_.push_back({round_, now_});
  while (!rounds_.empty() &&
         rounds_.front().at + options_.election_timeout < now_) {
    rounds_.pop_front();
  }
  heartbeat_due_ = now_ + options_.heartbeat_interval;
  for (const member& it : members_) {
    if (it.id != self_) replicate_to(it.id, true);
  }
  advance_commit();
  finish_reads();
}

bool replica::awaits_admission(const replica_id& id,
                               const progress& peer) const {
  // The first message binds an empty replica to this group permanently. A
  // leader that has lost its majority without having detected it yet must not
  // bind a new node to a group that can never admit it. Voters are exempt,
  // because their votes may be needed to commit the entry.
  return peer.admitted_at > commit_ && !is_voter(id);
}

void replica::replicate_to(const replica_id& to, bool even_if_empty) {
  progress& peer = peers_[to];
  if (awaits_admission(to, peer)) return;
  if (peer.next <= base_.index) {
    if (!even_if_empty) return;
    if (now_ >= peer.retry_at) {
      send_snapshot(to, peer);
    } else {
      send(to, append_request{base_.index, base_.term, 0, round_, {}});
    }
    return;
  }
  const bool has_entries = peer.next <= last_index();
  if (!even_if_empty && (!has_entries || peer.probing)) return;
  send_append(to, peer);
}

void replica::send_append(const replica_id& to, progress& peer) {
  append_request body;
  body.previous_index = peer.next - 1;
  body.previous_term = term_at(peer.next - 1);
  body.commit = commit_;
  body.round = round_;
  if (!is_probe_in_flight(peer)) add_entries(body, peer);
  send(to, std::move(body));
}

void replica::add_entries(append_request& body, progress& peer) {
  const log_index end = end_of_batch(peer.next);
  if (end < peer.next) return;
  for (log_index i = peer.next; i <= end; ++i) {
    body.entries.push_back(entry_at(i));
  }
  if (peer.probing) {
    peer.probed_from = peer.next;
    peer.probe_retry_at = now_ + options_.election_timeout;
  } else {
    // Optimistic: if the message is lost, the follower rejects the next one.
    peer.next = end + 1;
  }
}

log_index replica::end_of_batch(log_index first) const {
  std::size_t bytes = 0;
  log_index end = first - 1;
  while (end < last_index() && end + 1 < first + options_.batch_limit) {
    bytes += entry_at(end + 1).data.size();
    if (bytes > options_.batch_bytes && end >= first) break;
    ++end;
  }
  return end;
}

bool replica::is_probe_in_flight(const progress& peer) const {
  return peer.probing && peer.probed_from == peer.next &&
         now_ < peer.probe_retry_at;
}

void replica::send_snapshot(const replica_id& to, progress& peer) {
  peer.retry_at = now_ + 2 * options_.election_timeout;
  send(to, snapshot_request{round_, base_});
}

void replica::reply_append(const message& in, bool accepted, log_index match,
                           std::uint64_t round) {
  send(in.from, append_reply{accepted, match, round});
}

void replica::handle(const append_request& body, const message& in) {
  if (in.term < hard_.term) {
    reply_append(in, false, 0, 0);
    return;
  }
  become_follower(in.term, in.from);
  last_leader_message_at_ = now_;
  if (body.previous_index < commit_ && body.entries.empty() &&
      body.previous_index < base_.index) {
    reply_append(in, true, commit_, body.round);
    return;
  }
  const bool log_matches = body.previous_index <= last_index() &&
                           (body.previous_index <= base_.index ||
                            term_at(body.previous_index) == body.previous_term);
  if (!log_matches) {
    const log_index hint = std::min(
        last_index(),
        body.previous_index == 0 ? log_index{0} : body.previous_index - 1);
    reply_append(in, false, std::max(hint, commit_), body.round);
    return;
  }
  append_received(body.entries);
  const log_index match = body.previous_index + body.entries.size();
  commit_to(std::min(body.commit, match));
  reply_append(in, true, std::max(match, commit_), body.round);
}

void replica::handle(const append_reply& body, const message& in) {
  if (role_ != role::leader || in.term != hard_.term) return;
  const auto it = peers_.find(in.from);
  if (it == peers_.end()) return;
  progress& peer = it->second;
  if (body.round >= peer.first_round) peer.reply_at = now_;
  peer.acked_round = std::max(peer.acked_round, body.round);
  if (body.accepted) {
    peer.probing = false;
    peer.match = std::max(peer.match, std::min(body.match, last_index()));
    peer.next = std::max(peer.next, peer.match + 1);
    advance_commit();
  } else {
    peer.probing = true;
    const log_index before = peer.next;
    peer.next = std::max(peer.match, std::min(body.match, last_index())) + 1;
    const bool needs_snapshot = peer.next <= base_.index;
    // A rejection without new information waits for the next heartbeat;
    // otherwise duplicated messages would multiply. A snapshot waits for its
    // retry time.
    const bool made_progress = peer.next < before;
    if (made_progress && (!needs_snapshot || now_ >= peer.retry_at)) {
      replicate_to(in.from, true);
    }
  }
  finish_reads();
  if (body.accepted) replicate_to(in.from, false);
}

void replica::handle(const snapshot_request& body, const message& in) {
  if (in.term < hard_.term) {
    reply_append(in, false, 0, 0);
    return;
  }
  become_follower(in.term, in.from);
  last_leader_message_at_ = now_;
  if (body.state.index <= commit_) {
    reply_append(in, true, commit_, body.round);
    return;
  }
  const log_index index = body.state.index;
  if (index <= last_index() && term_at(index) == body.state.term) {
    // The log already contains the snapshot's last entry, and may hold
    // acknowledged entries after it that a late snapshot must not discard.
    commit_to(index);
    reply_append(in, true, index, body.round);
    return;
  }
  base_ = body.state;
  log_.clear();
  writes_.entries.clear();
  writes_.truncate_from.reset();
  writes_.base = base_;
  writes_.hard = hard_;
  restore_ = base_;
  commit_ = base_.index;
  delivered_ = base_.index;
  durable_ = 0;
  durable_after_taken_ = 0;
  durable_after_write_ = base_.index;
  refresh_members();
  reply_append(in, true, base_.index, body.round);
}

void replica::advance_commit() {
  if (role_ != role::leader) return;
  std::vector<log_index> matches;
  for (const member& it : members_) {
    if (!it.voter && !options_.learners_vote) continue;
    if (it.id == self_) {
      matches.push_back(durable_);
      continue;
    }
    const auto found = peers_.find(it.id);
    matches.push_back(found == peers_.end() ? 0 : found->second.match);
  }
  if (matches.empty()) return;
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const log_index quorum_match = matches[quorum() - 1];
  // Only entries of the leader's own term are committed by counting; earlier
  // entries are committed along with them.
  if (quorum_match <= commit_ || term_at(quorum_match) != hard_.term) return;
  const log_index before = commit_;
  commit_to(quorum_match);
  send_to_admitted(before);
}

void replica::send_to_admitted(log_index before) {
  if (role_ != role::leader) return;
  for (const member& it : members_) {
    const auto found = peers_.find(it.id);
    if (found == peers_.end()) continue;
    const log_index admitted_at = found->second.admitted_at;
    const bool now_admitted = admitted_at > before && admitted_at <= commit_;
    if (now_admitted) replicate_to(it.id, true);
  }
}

void replica::commit_to(log_index index) {
  commit_ = std::max(commit_, std::min(index, last_index()));
  const bool removed = role_ == role::leader && !is_member(self_);
  if (removed && !members_change_pending()) {
    become_follower(hard_.term, std::nullopt);
  }
}

result<void> replica::request_read(std::uint64_t token) {
  if (!has_committed_in_term()) {
    return fail(error_kind::not_leader, "this replica is not the leader",
                "read from the leader");
  }
  reads_.push_back({token, round_ + 1});
  start_round();
  return {};
}

void replica::finish_reads() {
  if (reads_.empty()) return;
  const std::uint64_t confirmed = quorum_round();
  std::erase_if(reads_, [this, confirmed](const pending_read& it) {
    if (it.round > confirmed) return false;
    reads_ready_.push_back(it.token);
    return true;
  });
}

bool replica::has_output() const {
  return !writes_.empty() || !messages_.empty() || restore_ ||
         delivered_ < commit_ || !reads_ready_.empty();
}

output replica::take_output() {
  output out;
  out.writes = std::exchange(writes_, {});
  out.messages = std::exchange(messages_, {});
  examined_taken_ = false;
  late_messages_ = 0;
  durable_after_taken_ = durable_after_write_;
  out.restore = std::exchange(restore_, std::nullopt);
  out.reads_ready = std::exchange(reads_ready_, {});
  while (delivered_ < commit_) {
    ++delivered_;
    out.committed.push_back(entry_at(delivered_));
  }
  return out;
}

void replica::mark_durable() {
  durable_ = durable_after_taken_;
  advance_commit();
}

std::vector<message> replica::take_early_messages(std::vector<message>& taken) {
  std::vector<message> out;
  if (!std::exchange(examined_taken_, true)) select_early(taken, out);
  // Messages that depend on a new term, a vote or a truncated log must wait,
  // and so must all messages after them.
  if (!writes_.only_entries()) return out;
  const auto first =
      messages_.begin() + static_cast<std::ptrdiff_t>(late_messages_);
  std::vector<message> unseen(std::make_move_iterator(first),
                              std::make_move_iterator(messages_.end()));
  messages_.erase(first, messages_.end());
  select_early(unseen, out);
  std::move(unseen.begin(), unseen.end(), std::back_inserter(messages_));
  late_messages_ = messages_.size();
  return out;
}

void replica::select_early(std::vector<message>& from,
                           std::vector<message>& out) const {
  std::erase_if(from, [this, &out](const message& it) {
    // A leader may send entries that are not durable here, since it counts
    // itself only once they are.
    const bool is_leaders = std::holds_alternative<append_request>(it.body) ||
                            std::holds_alternative<snapshot_request>(it.body);
    const append_reply* reply = std::get_if<append_reply>(&it.body);
    if (reply == nullptr && !is_leaders) return false;
    out.push_back(it);
    const bool promises = reply != nullptr && reply->accepted &&
                          reply->match > durable_ &&
                          !options_.promise_before_write;
    // Confirms the leader now, and the new entries once they are durable.
    if (promises) std::get<append_reply>(out.back().body).match = durable_;
    return !promises;
  });
}

std::vector<entry> replica::durable_entries() const {
  std::vector<entry> out;
  for (const entry& it : log_) {
    if (it.index <= durable_) out.push_back(it);
  }
  return out;
}

snapshot replica::compact(log_index index, std::string data) {
  const log_index end = std::min(index, delivered_);
  if (end <= base_.index) return base_;
  member_list members = base_.members;
  for (const entry& it : log_) {
    if (it.index > end) break;
    if (it.type != entry_type::membership) continue;
    const result<json> parsed = parse_json(it.data);
    if (parsed) members = member_list_from(*parsed);
  }
  const term_number last_term = term_at(end);
  log_.erase(log_.begin(),
             log_.begin() + static_cast<std::ptrdiff_t>(end - base_.index));
  base_ = {end, last_term, std::move(members), std::move(data)};
  return base_;
}

}  // namespace trestlepost::consensus

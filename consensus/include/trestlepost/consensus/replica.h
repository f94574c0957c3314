// One replica of a replicated log (Raft), without I/O: it takes messages and
// ticks, and produces messages, writes and committed entries.
//
// The owner must make the writes of an `output` durable before it sends the
// messages of the same output, and must then call `mark_durable`.
#pragma once

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/base/random.h"
#include "trestlepost/consensus/types.h"

namespace trestlepost::consensus {

enum class role { follower, candidate, leader };

struct replica_options {
  /// A follower without messages from a leader starts an election after one to
  /// two of these timeouts.
  std::chrono::milliseconds election_timeout{1000};
  std::chrono::milliseconds heartbeat_interval{200};
  /// Percentage of the election timeout by which a lease ends early, to allow
  /// for clocks that run at different speeds.
  int drift_margin_percent = 10;
  /// Maximum number of entries in one message.
  std::size_t batch_limit = 256;
  /// Maximum bytes of entries in one message, except for a single longer entry.
  /// Links accept messages of 64 MB, but encoding 1 MB blocks a leader for
  /// about 15 ms.
  std::size_t batch_bytes = 1024UL * 1024;
  // Fault injection: each flag disables a safety mechanism, so that tests can
  // show that its absence is detected.
  bool skip_log_check = false;
  bool learners_vote = false;
  bool promise_before_write = false;
};

/// State that a replica loads from its data folder at startup.
struct durable_state {
  hard_state hard;
  snapshot base;
  std::vector<entry> entries;
};

/// Writes in the order in which they must become durable.
struct write_batch {
  std::optional<snapshot> base;  // received from the leader
  std::optional<hard_state> hard;
  std::optional<log_index> truncate_from;
  std::vector<entry> entries;

  bool empty() const {
    return !base && !hard && !truncate_from && entries.empty();
  }
  bool only_entries() const { return !base && !hard && !truncate_from; }
};

/// Results of a replica's last calls, for its owner to process.
struct output {
  write_batch writes;
  std::vector<message> messages;
  std::optional<snapshot> restore;  // replaces the state machine's state
  std::vector<entry> committed;
  std::vector<std::uint64_t> reads_ready;  // tokens of `request_read`
};

class replica {
 public:
  replica(replica_id self, replica_options options, durable_state state,
          random_source& random, monotonic_time now);

  /// Starts a new group with `members`. This replica must be empty.
  result<void> found(std::string group_id, member_list members);

  /// Continues as the only voter of a new group after the majority is lost for
  /// good. The new group has all entries of this replica's log; entries that
  /// only lost replicas held are lost. Messages of replicas of the previous
  /// group are ignored from then on.
  result<void> recover_alone(std::string group_id);

  void tick(monotonic_time now);
  void receive(monotonic_time now, const message& in);

  /// Appends a command on the leader. It is accepted once it is committed.
  result<log_index> propose(entry_type type, std::string data);

  /// Proposes a change by one member: added, removed, promoted or demoted.
  result<log_index> propose_members(const member_list& members);

  /// Requests a linearizable read: `reads_ready` contains `token` once a
  /// majority has confirmed that this replica still leads.
  result<void> request_read(std::uint64_t token);

  /// Whether `take_output` would return anything.
  bool has_output() const;
  output take_output();

  /// Confirms that the writes of the last `take_output` are durable. Until then
  /// no other output may be taken, but the replica continues to work.
  void mark_durable();

  /// Takes the messages that may be sent before the writes in progress have
  /// ended: from `taken`, the messages of the output that is being written, and
  /// from those after it. The writes in progress may contain only entries.
  std::vector<message> take_early_messages(std::vector<message>& taken);

  /// The entries of the log that are durable.
  std::vector<entry> durable_entries() const;

  /// Replaces the log up to `index` by a snapshot with the state machine's
  /// state `data`. Returns the snapshot to store.
  snapshot compact(log_index index, std::string data);

  role current_role() const { return role_; }
  bool is_leader() const { return role_ == role::leader; }
  /// Whether this replica leads and a majority has confirmed it recently enough
  /// that no other replica can lead at `now`.
  bool holds_lease(monotonic_time now) const;
  term_number term() const { return hard_.term; }
  log_index commit_index() const { return commit_; }
  log_index last_index() const;
  log_index first_index() const { return base_.index + 1; }
  /// Whether an entry of the leader's own term is committed.
  bool has_committed_in_term() const;
  const std::string& group_id() const { return hard_.group_id; }
  const std::optional<replica_id>& voted_for() const { return hard_.voted_for; }
  const replica_id& self() const { return self_; }
  const member_list& members() const { return members_; }
  std::optional<replica_id> leader() const { return leader_; }
  /// Whether `id` has all committed entries. Only valid on the leader.
  bool caught_up(const replica_id& id) const;
  /// Time of the last reply of `id`. Only valid on the leader.
  std::optional<monotonic_time> last_reply_at(const replica_id& id) const;
  /// Since when this leader replicates to `id`; the current time if it does
  /// not. Only valid on the leader.
  monotonic_time replicating_since(const replica_id& id) const;
  bool members_change_pending() const;
  /// Time of the last message from a leader, or of the start.
  monotonic_time last_leader_message_at() const {
    return last_leader_message_at_;
  }

 private:
  struct progress {
    log_index next = 1;
    log_index match = 0;
    /// The first round that is sent to this member. A reply to an earlier one
    /// was delayed and does not show that the member runs.
    std::uint64_t first_round = 0;
    std::uint64_t acked_round = 0;
    std::optional<monotonic_time> reply_at;
    /// When this leader began to replicate to the member.
    monotonic_time replicating_since;
    monotonic_time retry_at;
    bool probing = true;
    /// First index of the last entries sent while probing. They are not sent
    /// again before `probe_retry_at`.
    log_index probed_from = 0;
    monotonic_time probe_retry_at;
    /// Index of the entry that added this member, if this leader appended it.
    log_index admitted_at = 0;
  };
  struct round_start {
    std::uint64_t round = 0;
    monotonic_time at;
  };
  struct pending_read {
    std::uint64_t token = 0;
    std::uint64_t round = 0;
  };

  void handle(const vote_request& body, const message& in);
  void handle(const vote_reply& body, const message& in);
  void handle(const append_request& body, const message& in);
  void handle(const append_reply& body, const message& in);
  void handle(const snapshot_request& body, const message& in);

  bool accepts(const message& in);
  void observe_term(const message& in);
  void become_follower(term_number term, std::optional<replica_id> leader);
  void start_pre_vote();
  void start_election();
  /// Returns the progress of a member to which this leader begins to replicate.
  progress new_progress() const;
  void become_leader();
  void request_votes(bool pre_vote);
  void count_vote(const replica_id& from);
  bool may_grant(const vote_request& body) const;
  bool has_active_leader() const;
  void reset_election_deadline();
  /// After a start there may be no leader. Voters then start elections in the
  /// order of the member list, because with random deadlines two of them would
  /// often start one at the same time.
  void set_first_election_deadline();
  /// Sets the time of the next election attempt after an attempt of this
  /// replica, or after it has granted a pre-vote: half to three quarters of the
  /// election timeout. A pre-vote does not change the term, so it may be
  /// repeated sooner than a follower's timeout. Repetition is needed when peers
  /// that started later reject the first pre-vote, or when two candidates split
  /// the vote.
  void set_candidate_deadline();
  /// Delays this replica's own election because it granted a pre-vote to
  /// `candidate`, so that the few remaining voters do not split their votes.
  /// This happens only once until the next term or message of a leader: a
  /// candidate whose links fail in one direction repeats its requests and never
  /// wins.
  void yield_to(const replica_id& candidate);

  void append(entry_type type, std::string data);
  void append_received(const std::vector<entry>& entries);
  void truncate_from(log_index index);
  void refresh_members();
  void start_round();
  void replicate_to(const replica_id& to, bool even_if_empty);
  bool awaits_admission(const replica_id& id, const progress& peer) const;
  /// Sends the first message to members whose addition was committed after
  /// index `before`.
  void send_to_admitted(log_index before);
  void send_append(const replica_id& to, progress& peer);
  void add_entries(append_request& body, progress& peer);
  /// Last index of the message that begins at `first`.
  log_index end_of_batch(log_index first) const;
  /// Whether the entries that the follower lacks were sent recently. A follower
  /// that takes long to process them must not be sent the same entries again.
  bool is_probe_in_flight(const progress& peer) const;
  void send_snapshot(const replica_id& to, progress& peer);
  void reply_append(const message& in, bool accepted, log_index match,
                    std::uint64_t round);
  void advance_commit();
  void commit_to(log_index index);
  void finish_reads();
  void check_quorum();
  bool is_second_overdue_tick();
  void send(const replica_id& to, message_body body);
  /// Moves the messages that may be sent before the writes in progress have
  /// ended from `from` to `out`.
  void select_early(std::vector<message>& from,
                    std::vector<message>& out) const;

  bool is_voter(const replica_id& id) const;
  bool is_member(const replica_id& id) const;
  std::size_t quorum() const;
  std::uint64_t quorum_round() const;
  term_number term_at(log_index index) const;
  const entry& entry_at(log_index index) const;
  bool is_single_change(const member_list& next) const;

  replica_id self_;
  replica_options options_;
  random_source& random_;
  monotonic_time now_;

  hard_state hard_;
  snapshot base_;  // includes the data, to send it to followers
  std::vector<entry> log_;
  member_list members_;
  log_index members_index_ = 0;
  log_index commit_ = 0;
  log_index delivered_ = 0;  // last committed index passed to the owner
  log_index durable_ = 0;
  log_index durable_after_write_ = 0;
  /// What `durable_` will be when the writes in progress have ended.
  log_index durable_after_taken_ = 0;

  role role_ = role::follower;
  std::optional<replica_id> leader_;
  bool yielded_ = false;  // to another candidate
  monotonic_time election_deadline_;
  monotonic_time heartbeat_due_;
  monotonic_time last_leader_message_at_;
  monotonic_time elected_at_;
  bool deadline_passed_ = false;  // a deadline had passed at the last tick
  bool pre_voting_ = false;
  std::set<replica_id> votes_;
  std::map<replica_id, progress> peers_;
  std::uint64_t round_ = 0;
  std::deque<round_start> rounds_;
  std::vector<pending_read> reads_;

  write_batch writes_;
  std::vector<message> messages_;
  /// Whether `take_early_messages` has examined the messages taken last.
  bool examined_taken_ = false;
  /// Number of leading messages that it has examined and left in `messages_`.
  std::size_t late_messages_ = 0;
  std::optional<snapshot> restore_;
  std::vector<std::uint64_t> reads_ready_;
};

}  // namespace trestlepost::consensus

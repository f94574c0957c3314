// Runs one replica: stores its writes before it sends its messages, applies
// committed entries, adjusts the group's members and compacts the log.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trestlepost/consensus/storage.h"

namespace trestlepost::consensus {

/// The replicated state. `apply` must depend only on the entry and the current
/// state.
class state_machine {
 public:
  virtual ~state_machine() = default;
  virtual void apply(const entry& committed) = 0;
  virtual std::string save() const = 0;
  virtual result<void> load(std::string_view data) = 0;
};

/// Sends messages to other replicas. Messages may be lost.
class message_sink {
 public:
  virtual ~message_sink() = default;
  virtual void send(const message& out) = 0;
};

struct group_options {
  replica_options replica;
  /// Entries applied between two snapshots.
  std::size_t snapshot_every = 1000;
  /// Command bytes applied between two snapshots. If twice the size of the last
  /// snapshot is more, that counts instead. Limits the log's file size and the
  /// time to replay it at a start when single commands are large.
  std::size_t snapshot_bytes = 1024UL * 1024;
  /// Command bytes applied in one event loop iteration; the command that
  /// exceeds the limit is still applied. A replica that replays a long log
  /// after a start must keep receiving messages and renewing its lease.
  std::size_t apply_bytes = 64UL * 1024;
  /// A member that has not replied for this time counts as unreachable. An
  /// unreachable learner is not promoted to voter.
  std::chrono::milliseconds member_timeout{3000};
};

/// Membership that consists of the nodes that request to join, instead of a
/// configured list.
struct open_membership {
  /// Voters that the group keeps even if they are unreachable. An unreachable
  /// voter is removed only while this many others are live.
  std::size_t min_voters = 1;
  /// A member that has sent nothing for this time may be removed.
  std::chrono::milliseconds removal_timeout{4000};
};

/// A replica with its storage, its state machine and its message channel.
class group_host {
 public:
  group_host(replica_id self, group_options options,
             std::unique_ptr<storage> store, state_machine& machine,
             message_sink& sink, random_source& random);

  /// Loads the stored state. Must be called before any other function.
  result<void> start(monotonic_time now);

  /// Starts again with `store` after a storage failure, as a restart of the
  /// process would. Entries that were not durable have never been acknowledged.
  result<void> restart(monotonic_time now, std::unique_ptr<storage> store);

  result<void> found(monotonic_time now, std::string group_id,
                     member_list members);
  /// See `replica::recover_alone`.
  result<void> recover_alone(monotonic_time now, std::string group_id);
  void tick(monotonic_time now);
  void receive(monotonic_time now, const message& in);
  result<log_index> propose(monotonic_time now, std::string command);
  result<void> request_read(monotonic_time now, std::uint64_t token,
                            std::function<void()> ready);

  /// Handles the request of a node that is not a member to become one.
  /// `address` is where it listens; it is used in groups with open membership.
  void handle_join(monotonic_time now, const replica_id& joiner,
                   const std::string& address = "");

  /// Sets the nodes that should be voters. The leader changes the group one
  /// committed member change at a time.
  void set_desired_voters(std::vector<std::string> nodes);

  /// Makes every node that requests to join a voter, instead of the nodes of a
  /// fixed list.
  void set_open_membership(open_membership options) {
    open_membership_ = options;
  }
  /// The member of `node` that was admitted last, or null. On the leader, those
  /// that have replied come first.
  const member* find_member(const std::string& node) const;
  /// Whether any member is not a voter yet.
  bool has_learners() const;

  /// Nodes that may join as learners but are never promoted to voters.
  void set_admitted_learners(std::vector<std::string> nodes);

  const replica& core() const { return *replica_; }
  /// Whether this replica leads, a majority has confirmed it recently enough,
  /// and it has applied all entries that earlier leaders may have acknowledged.
  bool holds_lease(monotonic_time now) const;
  bool is_member() const;
  /// Whether this replica should request the leader to add it: it is not a
  /// member, or no leader sends to it. Being in its own member list is not
  /// enough, because the entry that added it may have been overwritten.
  bool needs_join(monotonic_time now) const;
  const std::optional<error>& failure() const { return failure_; }
  log_index applied() const { return applied_; }

 private:
  struct waiting_read {
    std::uint64_t token = 0;
    std::function<void()> ready;
  };

  /// A read that becomes ready when the state machine has applied `index`.
  struct confirmed_read {
    log_index index = 0;
    std::function<void()> ready;
  };

  void process_output();
  /// Ends the work of this replica until a restart.
  void stop_after(const error& cause);
  /// Stores the pending writes of the replica, then sends its pending messages.
  void write_and_send();
  void handle_written(const result<void>& saved);
  /// Sends the messages of an output that has been stored, and queues its
  /// entries.
  void deliver(const output& stored);
  /// Sends the messages that need not wait for the write in progress.
  void send_early();
  /// Blocks until all pending writes have ended.
  void finish_writes();
  void queue_committed(const output& out);
  void apply_committed();
  void finish_reads();
  void compact_if_due();
  void adjust_members(monotonic_time now);
  std::optional<member_list> next_members(monotonic_time now) const;
  bool is_desired_voter(const std::string& node) const;
  bool may_join(const std::string& node) const;
  /// Whether this is the leader itself, or has replied to it.
  bool is_running(const member& it) const;
  /// Whether `it` is a learner that has never replied, after a timeout, while
  /// an earlier incarnation of the same node runs: its join was delayed.
  bool is_superfluous_learner(monotonic_time now, const member& it) const;
  /// Whether a later incarnation of the same node has been admitted and runs.
  bool is_superseded(const member& it) const;
  bool is_removable(monotonic_time now, const member& it) const;
  bool is_silent(monotonic_time now, const member& it,
                 std::chrono::milliseconds timeout) const;
  bool update_address(const replica_id& joiner, const std::string& address);
  bool must_remove(monotonic_time now, const member& it) const;
  bool has_voter(const std::string& node) const;
  bool ready_to_vote(monotonic_time now, const member& learner) const;

  replica_id self_;
  group_options options_;
  std::unique_ptr<storage> storage_;
  state_machine& machine_;
  message_sink& sink_;
  random_source& random_;
  std::unique_ptr<replica> replica_;
  std::vector<std::string> desired_voters_;
  std::vector<std::string> admitted_learners_;
  std::optional<open_membership> open_membership_;
  std::vector<waiting_read> reads_;
  std::optional<error> failure_;
  log_index applied_ = 0;
  term_number applied_term_ = 0;
  std::deque<entry> to_apply_;
  std::deque<confirmed_read> confirmed_reads_;
  std::size_t bytes_since_snapshot_ = 0;
  std::size_t last_snapshot_bytes_ = 0;
  bool processing_output_ = false;
  /// Whether a write is in progress. The replica's output is not taken until it
  /// has ended.
  bool writing_ = false;
  /// Whether messages may be sent before the write in progress has ended.
  bool allows_early_messages_ = false;
  /// The output whose writes are in progress.
  output unstored_;
};

}  // namespace trestlepost::consensus

// Executes operators' changes and reads on any control node, and forwards them
// to the leader of the configuration group if another node leads.
#pragma once

#include <vector>

#include "node_context.h"
#include "orders/arrival_bound.h"
#include "orders/decision_history.h"
#include "orders/leader_clock.h"
#include "peer_calls.h"
#include "trestlepost/config/change.h"

namespace trestlepost::node {

class control_service;

/// Submits changes to the configuration group and runs linearizable reads.
class group_orders {
 public:
  group_orders(node_context& context, control_service& control)
      : context_(context), control_(control), calls_(context) {}

  void start();
  void tick();

  /// Submits `requested` to the log, through the leader if this node is a
  /// follower. A traffic plan is answered once all watchers have it, or after a
  /// timeout. An evacuation, or its end, is rejected if it was given too long
  /// ago, or if the zone may have been changed since; its sender still waited
  /// after the moment `given`.
  void submit(config::change requested, const node_moment& given,
              const answer_function& answer);
  /// A moment before the arrival of data that this node reads now and that
  /// arrived `since_data` ago according to the operating system.
  node_moment arrival(
      std::optional<std::chrono::milliseconds> since_data) const {
    return arrivals_.arrival(context_.clock.now(), since_data);
  }
  /// Records a message that the leader of `term` sent at `sent_at` by its own
  /// clock.
  void record_leader_time(consensus::term_number term, monotonic_time sent_at) {
    leader_clock_.record(term, sent_at, context_.clock.now());
  }
  /// Records, on the leader, that a change was decided.
  void record_decision();
  /// Answers once this node has applied every change that was acknowledged
  /// before the call.
  void read(const answer_function& answer);
  /// Answers the pending reads whose log index this node has applied.
  void complete_reads();
  /// Acknowledges the plans that all watchers have, or whose confirmation
  /// timeout has expired.
  void acknowledge_confirmed();

 private:
  /// A plan that has been accepted but not yet acknowledged.
  struct unconfirmed_plan {
    config::revision_number revision = 0;
    monotonic_time decided_at;
    json outcome;
    answer_function answer;
  };
  /// A read that waits until this node has applied the entry at `index`.
  struct pending_read {
    consensus::log_index index = 0;
    answer_function answer;
  };

  /// Proposes a change; fails if this node doesn't lead. `given` is a time by
  /// this node's clock, and the revision that the receiving node had.
  void propose_as_leader(config::change requested, const node_moment& given,
                         const answer_function& answer);
  /// Handles a change that a follower has received.
  void handle_submitted(const json& params, const answer_function& answer);
  /// Answers at once if the change was rejected, else once it is confirmed.
  void await_confirmation(const json& outcome, const answer_function& answer);
  void log_acknowledgement(const unconfirmed_plan& it) const;
  /// On the leader, confirms leadership with a quorum and answers with the
  /// index that a read has to wait for.
  void confirm_as_leader(const answer_function& answer);

  node_context& context_;
  control_service& control_;
  peer_calls calls_;
  arrival_bound arrivals_;
  leader_clock leader_clock_;
  decision_history decisions_;
  std::vector<unconfirmed_plan> unconfirmed_;
  std::vector<pending_read> pending_reads_;
  /// The newest revision created by a plan, and when it was decided. A resent
  /// plan shares the confirmation deadline of its first submission.
  config::revision_number newest_revision_ = 0;
  monotonic_time newest_decided_at_;
};

}  // namespace trestlepost::node

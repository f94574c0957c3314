// Operators' changes and reads at any control node, whether it leads its group
// or not.
#pragma once

#include <vector>

#include "node_context.h"
#include "peer_calls.h"
#include "trestlepost/config/change.h"

namespace trestlepost::node {

class control_service;

class group_orders {
 public:
  group_orders(node_context& context, control_service& control)
      : context_(context), control_(control), calls_(context) {}

  void start();
  void tick();

  /// Runs `change` through the log; a node that does not lead asks the leader.
  /// A plan is answered once the watchers hold it.
  void submit(config::change asked, const answer_function& answer);
  /// Answers once this node has applied all that was acknowledged before the
  /// call.
  void read_here(const answer_function& answer);
  /// Answers the reads that this node has applied enough for.
  void finish_reads();
  /// Acknowledges the plans that all watchers hold, or that have waited for as
  /// long as an acknowledgement may.
  void acknowledge_confirmed();

 private:
  /// A plan that is decided, and not acknowledged yet.
  struct unconfirmed_plan {
    config::revision_number revision = 0;
    monotonic_time decided_at;
    json outcome;
    answer_function answer;
  };
  /// A read that waits until this node has applied an entry.
  struct waiting_read {
    consensus::log_index index = 0;
    answer_function answer;
  };

  /// Proposes a change on the leader.
  void take(config::change asked, const answer_function& answer);
  void await_confirmation(const json& outcome, const answer_function& answer);
  /// Confirms a read on the leader.
  void confirm(const answer_function& answer);

  node_context& context_;
  control_service& control_;
  peer_calls calls_;
  std::vector<unconfirmed_plan> unconfirmed_;
  std::vector<waiting_read> waiting_reads_;
  /// The newest revision that a plan led to, and when: a plan that is sent
  /// again waits no longer than its first copy.
  config::revision_number newest_revision_ = 0;
  monotonic_time newest_decided_at_;
};

}  // namespace trestlepost::node

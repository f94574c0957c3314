// Tracks the pending claims and outcomes of one gateway, and proposes each
// repeatedly until the gateway's own replica has applied it.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "trestlepost/ledger/record.h"

namespace trestlepost::ledger {

/// Sends a command to the leader of the region's consensus group. Commands may
/// be lost.
class command_proposer {
 public:
  virtual ~command_proposer() = default;
  virtual void propose(const json& command) = 0;
};

class claim_table {
 public:
  explicit claim_table(
      command_proposer& proposer,
      std::chrono::milliseconds resend_after = std::chrono::milliseconds(300))
      : proposer_(proposer), resend_after_(resend_after) {}

  using decision_handler = std::function<void(const claim_decision&)>;

  /// Proposes the command until it is decided. `decided` is called once, unless
  /// the attempt is abandoned before.
  void claim(const claim_command& command, monotonic_time now,
             decision_handler decided);
  void fence(const fence_command& command, monotonic_time now,
             decision_handler decided);

  /// Abandons a claim. If it is granted later, it is released as not run.
  void abandon(const std::string& attempt);

  /// Proposes an outcome until it is recorded.
  void finish(const finish_command& report, monotonic_time now);

  /// Called by the state machine of this node's replica.
  void on_decided(const claim_decision& decided, const std::string& key,
                  monotonic_time now);
  void on_finished(const std::string& attempt);

  void tick(monotonic_time now);
  std::size_t pending() const { return claims_.size() + outcomes_.size(); }

  /// Sets the prefix of this process's attempt ids, by which a late grant of an
  /// abandoned claim is recognised.
  void set_own_prefix(std::string prefix) { own_prefix_ = std::move(prefix); }

 private:
  struct pending_claim {
    json command;
    decision_handler decided;
    monotonic_time sent_at;
  };
  struct pending_outcome {
    json command;
    monotonic_time sent_at;
  };

  void add(const std::string& attempt, json command, monotonic_time now,
           decision_handler decided);

  command_proposer& proposer_;
  std::chrono::milliseconds resend_after_;
  std::string own_prefix_;
  std::map<std::string, pending_claim> claims_;
  std::map<std::string, pending_outcome> outcomes_;
  std::map<std::string, monotonic_time> granted_;
};

}  // namespace trestlepost::ledger

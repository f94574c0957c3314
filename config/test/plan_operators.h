// Simulated operators that concurrently submit numbered traffic plans and read
// them, and the checks of the main invariant: the plan with the highest
// accepted number is in force on every machine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "control_machine.h"

namespace trestlepost::config::test {

/// Receives violations: the property, and a description of what was observed.
using violation_handler =
    std::function<void(const std::string& property, const std::string& what)>;

// The checked properties of plans, as named in violations.
inline constexpr char highest_number_in_force[] =
    "the highest number is in force";
inline constexpr char unique_content[] = "one content per number";
inline constexpr char no_plan_lost[] = "no acknowledged plan is lost";
inline constexpr char no_invalid_plan[] = "no invalid plan is in force";
inline constexpr char identical_logs[] = "all machines have the same log";

/// How a read is confirmed. The production code (`production`) requires both
/// the leader's lease and a round trip to a quorum. The other modes are faults
/// or variants: only one of the two, neither (any node that considers itself
/// the leader answers), or `copy_at_once`: a follower answers from its copy as
/// soon as the leader has confirmed the read, without waiting until it has
/// applied the leader's entries.
enum class read_mode {
  production,
  round_only,
  lease_only,
  unconfirmed,
  copy_at_once
};

/// Submits plans, reads them, and reports violations of the properties.
class plan_operators {
 public:
  plan_operators(random_source& random, read_mode mode,
                 violation_handler violation)
      : random_(random), mode_(mode), violation_(std::move(violation)) {}

  /// Sends a read or a plan, or two plans with the same number, to random
  /// machines of `reachable`.
  void send_random(const std::vector<control_machine*>& reachable);
  /// Sends a plan with a higher number than all plans so far.
  void send_newest(control_machine& to);
  void read(control_machine& from);
  /// Reads the copy of `at`, confirmed by `leader`.
  void read_copy(control_machine& leader, const control_machine& at);

  /// Checks the log and the plan in force after `by` has applied an entry.
  void observe_applied(const control_machine& by,
                       const consensus::entry& committed);
  /// Checks that the plan in force on `by` is valid and its number unique.
  void observe_in_force(const control_machine& by);

  plan_number acknowledged() const { return acknowledged_; }
  std::size_t acknowledgements() const { return acknowledgements_; }
  std::size_t reads() const { return reads_; }
  /// The highest number that a confirmed read has returned.
  plan_number highest_read() const { return highest_read_; }
  /// Called when a plan with a higher number than all before is acknowledged.
  std::function<void()> on_acknowledged;

 private:
  /// A read that is answered from the copy of `at` once it has applied
  /// `index`; it must return `min_number` or a higher number.
  struct pending_copy {
    const control_machine* at = nullptr;
    consensus::log_index index = 0;
    plan_number min_number = 0;
  };

  void check_ready_copies(const control_machine& at,
                          consensus::log_index applied);
  plan_ptr make_plan(plan_number number, bool valid);
  plan_ptr draw_plan();
  void send(control_machine& to, const plan_ptr& plan);
  void check_outcome(const plan_ptr& plan, const change_result& outcome,
                     bool edits);
  /// The number of the plan in `next` if the plan comes into force when it
  /// is applied next, else 0.
  plan_number number_in_force_after(const change& next) const;
  void check_read(const control_machine& from, plan_number min_number);

  random_source& random_;
  read_mode mode_;
  violation_handler violation_;
  std::vector<plan_ptr> sent_;
  plan_number highest_sent_ = 0;
  std::uint64_t next_id_ = 1;
  plan_number acknowledged_ = 0;
  plan_number highest_read_ = 0;
  std::size_t acknowledgements_ = 0;
  std::size_t reads_ = 0;
  std::size_t reads_started_ = 0;
  std::size_t sends_ = 0;
  std::vector<pending_copy> pending_copies_;
  std::map<plan_number, std::string> contents_;
  std::map<consensus::log_index, std::string> log_;
  std::map<consensus::log_index, plan_number> highest_at_;
  plan_number highest_ = 0;
};

}  // namespace trestlepost::config::test

// Operators that race with numbered traffic plans, and what must hold of the
// plans: the highest number that was accepted is in force everywhere.
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

/// Where violations are reported: which property, and what was seen.
using report =
    std::function<void(const std::string& property, const std::string& what)>;

// The properties of plans, as they are reported.
inline constexpr char highest_number_holds[] = "the highest number holds";
inline constexpr char one_content[] = "one content under a number";
inline constexpr char nothing_lost[] = "nothing acknowledged is lost";
inline constexpr char no_invalid_plan[] = "no invalid plan is in force";
inline constexpr char same_log[] = "the same log everywhere";

/// How a read is answered: as shipped, by a leader that holds its lease and a
/// round of the quorum; by one of both; or by any node that thinks it leads.
/// `copy_at_once`: another node shows its copy as soon as the leader has
/// confirmed the read, without waiting until it has applied as much.
enum class read_mode {
  shipped,
  round_only,
  lease_only,
  unconfirmed,
  copy_at_once
};

/// Sends plans and reads, and reports each property that does not hold.
class plan_operators {
 public:
  plan_operators(random_source& random, read_mode mode, report violation)
      : random_(random), mode_(mode), violation_(std::move(violation)) {}

  /// Sends one order, or two at once, to machines drawn from `reachable`.
  void act(const std::vector<control_machine*>& reachable);
  /// Sends a plan with a number above all others.
  void send_newest(control_machine& to);
  void read(control_machine& from);
  /// `leader` confirms the read, and `at` shows its copy.
  void read_copy(control_machine& leader, const control_machine& at);

  void observe_applied(const control_machine& by,
                       const consensus::entry& committed);
  void observe_in_force(const control_machine& by);

  plan_number acknowledged() const { return acknowledged_; }
  std::size_t acknowledgements() const { return acknowledgements_; }
  std::size_t reads() const { return reads_; }
  /// The newest number that a confirmed read has shown.
  plan_number shown() const { return shown_; }
  /// Called when a number above all acknowledged ones is acknowledged.
  std::function<void()> on_acknowledged;

 private:
  /// A copy that is shown once its machine has applied `index`.
  struct waiting_copy {
    const control_machine* at = nullptr;
    consensus::log_index index = 0;
    plan_number least = 0;
  };

  void show_copies(const control_machine& at, consensus::log_index applied);
  plan_ptr make_plan(plan_number number, bool valid);
  plan_ptr draw_plan();
  void send(control_machine& to, const plan_ptr& plan);
  void answered(const plan_ptr& plan, const change_result& outcome, bool edits);
  /// The plan's number when the change replaces the plan after all that was
  /// applied before it; else 0.
  plan_number number_that_holds(const change& asked) const;
  void show(const control_machine& from, plan_number least);

  random_source& random_;
  read_mode mode_;
  report violation_;
  std::vector<plan_ptr> sent_;
  plan_number top_ = 0;
  std::uint64_t next_id_ = 1;
  plan_number acknowledged_ = 0;
  plan_number shown_ = 0;
  std::size_t acknowledgements_ = 0;
  std::size_t reads_ = 0;
  std::size_t reads_begun_ = 0;
  std::size_t sends_ = 0;
  std::vector<waiting_copy> copies_;
  std::map<plan_number, std::string> contents_;
  std::map<consensus::log_index, std::string> log_;
  std::map<consensus::log_index, plan_number> highest_at_;
  plan_number highest_ = 0;
};

}  // namespace trestlepost::config::test

#include "plan_operators.h"

#include <algorithm>
#include <utility>

namespace trestlepost::config::test {
namespace {

using std::chrono::milliseconds;

constexpr char invalid_mark[] = "invalid";
// No plan defines this service, so a plan that refers to it is invalid.
constexpr char unknown_service[] = "none";

plan_number number_in_force(const control_machine& it) {
  const plan_ptr& plan = it.machine().plan();
  return plan ? plan->number : 0;
}

}  // namespace

plan_ptr plan_operators::make_plan(plan_number number, bool valid) {
  traffic_plan out;
  out.number = number;
  planned_service service;
  service.name = "model";
  service.health_path = "/health";
  out.services.push_back(service);
  route one;
  one.name = "r";
  one.host = "a.example";
  one.path_prefix = "/x/";
  one.timeout = milliseconds(1000);
  one.split = {{valid ? "model" : unknown_service, 1}};
  out.routes.push_back(one);
  const std::string mark = valid ? "plan" : invalid_mark;
  out.document = mark + " " + std::to_string(next_id_++);
  sent_.push_back(std::make_shared<const traffic_plan>(std::move(out)));
  highest_sent_ = std::max(highest_sent_, number);
  return sent_.back();
}

plan_ptr plan_operators::draw_plan() {
  switch (random_.below(8)) {
    case 0:
      if (!sent_.empty()) return sent_[random_.below(sent_.size())];
      break;
    case 1:
      return make_plan(1 + random_.below(highest_sent_ + 1), true);
    case 2:
      return make_plan(highest_sent_ + 1, false);
    case 3:
      if (highest_sent_ > 0) return make_plan(highest_sent_, true);
      break;
    default:
      break;
  }
  return make_plan(highest_sent_ + 1 + random_.below(3), true);
}

void plan_operators::send_random(
    const std::vector<control_machine*>& reachable) {
  if (reachable.empty()) return;
  const auto draw = [this, &reachable]() -> control_machine& {
    return *reachable[random_.below(reachable.size())];
  };
  if (random_.below(3) == 0) {
    control_machine& from = draw();
    // Alternates instead of being drawn, so that the schedules of existing
    // seeds don't change.
    const bool copy = ++reads_started_ % 2 == 0;
    if (copy) {
      read_copy(from, *reachable[reads_started_ / 2 % reachable.size()]);
    } else {
      read(from);
    }
    return;
  }
  const plan_ptr first = draw_plan();
  const bool concurrent = random_.below(4) == 0;
  send(draw(), first);
  if (!concurrent) return;
  control_machine& second = draw();
  if (second.running()) send(second, make_plan(first->number, true));
}

void plan_operators::send_newest(control_machine& to) {
  send(to, make_plan(highest_sent_ + 1, true));
}

void plan_operators::send(control_machine& to, const plan_ptr& plan) {
  // The daemon validates a plan on receipt and again when it applies the log.
  // Half of the invalid plans skip the first check.
  const bool unchecked = random_.below(2) == 0;
  if (!unchecked && !validate_plan(*plan)) return;
  if (!to.may_acknowledge()) return;
  change requested;
  requested.id = "order-" + std::to_string(next_id_++);
  requested.operator_name = "operator";
  // Alternates between edits, as the daemon proposes them, and whole plans, as
  // in logs of earlier versions.
  const bool edits = ++sends_ % 2 == 0;
  if (edits) {
    requested.edited_plan = std::make_shared<const plan_edit>(
        make_plan_edit(to.machine().plan().get(), *plan));
  } else {
    requested.plan = plan;
  }
  to.propose(requested, [this, plan, edits](const change_result& outcome) {
    // Another plan was committed first. The daemon would recreate the edit.
    if (edits && outcome.status == change_status::conflict) return;
    check_outcome(plan, outcome, edits);
  });
}

void plan_operators::check_outcome(const plan_ptr& plan,
                                   const change_result& outcome, bool edits) {
  const bool valid = !plan->document.starts_with(invalid_mark);
  const bool accepted = outcome.status == change_status::accepted;
  // An edit whose number is not above that of the plan in force is accepted
  // without validation, because it changes nothing.
  const bool passed = edits && !valid && plan->number <= highest_;
  if (accepted != valid && !passed) {
    violation_(no_invalid_plan, plan->document + " was answered with " +
                                    std::string(to_string(outcome.status)));
  }
  if (!accepted) return;
  ++acknowledgements_;
  if (plan->number <= acknowledged_) return;
  acknowledged_ = plan->number;
  if (on_acknowledged) on_acknowledged();
}

void plan_operators::read(control_machine& from) {
  const plan_number min_number = acknowledged_;
  control_machine* source = &from;
  const bool production =
      mode_ == read_mode::production || mode_ == read_mode::copy_at_once;
  const bool leased = production || mode_ == read_mode::lease_only;
  const bool rounds = production || mode_ == read_mode::round_only;
  const bool sure = leased ? from.leads() : from.host().core().is_leader();
  if (!sure) return;
  if (rounds) {
    from.read([this, source, min_number] { check_read(*source, min_number); });
  } else {
    check_read(from, min_number);
  }
}

void plan_operators::read_copy(control_machine& leader,
                               const control_machine& at) {
  if (!leader.host().core().is_leader()) return;
  const plan_number min_number = acknowledged_;
  control_machine* source = &leader;
  leader.read([this, source, min_number, &at] {
    if (mode_ == read_mode::copy_at_once) {
      if (at.running()) check_read(at, min_number);
      return;
    }
    pending_copies_.push_back({&at, source->host().applied(), min_number});
    if (at.running()) check_ready_copies(at, at.host().applied());
  });
}

void plan_operators::check_ready_copies(const control_machine& at,
                                        consensus::log_index applied) {
  std::vector<pending_copy> ready;
  std::erase_if(pending_copies_,
                [&at, applied, &ready](const pending_copy& it) {
                  if (it.at != &at || it.index > applied) return false;
                  ready.push_back(it);
                  return true;
                });
  for (const pending_copy& it : ready) check_read(at, it.min_number);
}

void plan_operators::check_read(const control_machine& from,
                                plan_number min_number) {
  ++reads_;
  const plan_number number = number_in_force(from);
  highest_read_ = std::max(highest_read_, number);
  if (number >= min_number) return;
  violation_(no_plan_lost, from.name + " returned plan " +
                               std::to_string(number) + " after plan " +
                               std::to_string(min_number) +
                               " was acknowledged");
}

plan_number plan_operators::number_in_force_after(const change& next) const {
  if (next.plan) {
    const bool valid = !next.plan->document.starts_with(invalid_mark);
    return valid ? next.plan->number : 0;
  }
  if (!next.edited_plan || next.edited_plan->base != highest_) return 0;
  for (const route& it : next.edited_plan->delta.written) {
    if (it.split.front().service == unknown_service) return 0;
  }
  return next.edited_plan->delta.number;
}

void plan_operators::observe_applied(const control_machine& by,
                                     const consensus::entry& committed) {
  const auto [it, added] = log_.emplace(committed.index, committed.data);
  if (!added && it->second != committed.data) {
    violation_(identical_logs, by.name +
                                   " applied a different entry at index " +
                                   std::to_string(committed.index));
    return;
  }
  if (added) {
    const result<change> requested = change_from(*parse_json(committed.data));
    highest_ = std::max(highest_, number_in_force_after(*requested));
    highest_at_[committed.index] = highest_;
  }
  const plan_number number = number_in_force(by);
  if (number != highest_at_[committed.index]) {
    violation_(highest_number_in_force,
               by.name + " has plan " + std::to_string(number) +
                   " in force at index " + std::to_string(committed.index) +
                   ", not " + std::to_string(highest_at_[committed.index]));
  }
  observe_in_force(by);
  check_ready_copies(by, committed.index);
}

void plan_operators::observe_in_force(const control_machine& by) {
  const plan_ptr& plan = by.machine().plan();
  if (!plan) return;
  if (plan->document.starts_with(invalid_mark)) {
    violation_(no_invalid_plan, by.name + " has in force: " + plan->document);
  }
  const auto [it, added] = contents_.emplace(plan->number, plan->document);
  if (!added && it->second != plan->document) {
    violation_(unique_content,
               by.name + " has " + plan->document + " under number " +
                   std::to_string(plan->number) + ", not " + it->second);
  }
}

}  // namespace trestlepost::config::test

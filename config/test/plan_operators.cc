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
  top_ = std::max(top_, number);
  return sent_.back();
}

plan_ptr plan_operators::draw_plan() {
  switch (random_.below(8)) {
    case 0:
      if (!sent_.empty()) return sent_[random_.below(sent_.size())];
      break;
    case 1:
      return make_plan(1 + random_.below(top_ + 1), true);
    case 2:
      return make_plan(top_ + 1, false);
    case 3:
      if (top_ > 0) return make_plan(top_, true);
      break;
    default:
      break;
  }
  return make_plan(top_ + 1 + random_.below(3), true);
}

void plan_operators::act(const std::vector<control_machine*>& reachable) {
  if (reachable.empty()) return;
  const auto draw = [this, &reachable]() -> control_machine& {
    return *reachable[random_.below(reachable.size())];
  };
  if (random_.below(3) == 0) {
    control_machine& from = draw();
    // Alternates instead of being drawn, so that the schedules of existing
    // seeds don't change.
    const bool copy = ++reads_begun_ % 2 == 0;
    if (copy) {
      read_copy(from, *reachable[reads_begun_ / 2 % reachable.size()]);
    } else {
      read(from);
    }
    return;
  }
  const plan_ptr first = draw_plan();
  const bool raced = random_.below(4) == 0;
  send(draw(), first);
  if (!raced) return;
  control_machine& second = draw();
  if (second.running()) send(second, make_plan(first->number, true));
}

void plan_operators::send_newest(control_machine& to) {
  send(to, make_plan(top_ + 1, true));
}

void plan_operators::send(control_machine& to, const plan_ptr& plan) {
  // The daemon validates a plan on receipt and again when it applies the log.
  // Half of the invalid plans skip the first check.
  const bool unchecked = random_.below(2) == 0;
  if (!unchecked && !check_plan(*plan)) return;
  if (!to.may_acknowledge()) return;
  change asked;
  asked.id = "order-" + std::to_string(next_id_++);
  asked.operator_name = "operator";
  // Alternates between edits, as the daemon proposes them, and whole plans, as
  // in logs of earlier versions.
  const bool edits = ++sends_ % 2 == 0;
  if (edits) {
    asked.edited_plan = std::make_shared<const plan_edit>(
        make_plan_edit(to.machine().plan().get(), *plan));
  } else {
    asked.plan = plan;
  }
  to.propose(asked, [this, plan, edits](const change_result& outcome) {
    // Another plan was committed first. The daemon would recreate the edit.
    if (edits && outcome.status == change_status::conflict) return;
    answered(plan, outcome, edits);
  });
}

void plan_operators::answered(const plan_ptr& plan,
                              const change_result& outcome, bool edits) {
  const bool valid = !plan->document.starts_with(invalid_mark);
  const bool accepted = outcome.status == change_status::accepted;
  // An edit with a number that is not above the current one is accepted without
  // validation.
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
  const plan_number least = acknowledged_;
  control_machine* source = &from;
  const bool shipped =
      mode_ == read_mode::shipped || mode_ == read_mode::copy_at_once;
  const bool leased = shipped || mode_ == read_mode::lease_only;
  const bool rounds = shipped || mode_ == read_mode::round_only;
  const bool sure = leased ? from.leads() : from.host().core().is_leader();
  if (!sure) return;
  if (rounds) {
    from.read([this, source, least] { show(*source, least); });
  } else {
    show(from, least);
  }
}

void plan_operators::read_copy(control_machine& leader,
                               const control_machine& at) {
  if (!leader.host().core().is_leader()) return;
  const plan_number least = acknowledged_;
  control_machine* source = &leader;
  leader.read([this, source, least, &at] {
    if (mode_ == read_mode::copy_at_once) {
      if (at.running()) show(at, least);
      return;
    }
    copies_.push_back({&at, source->host().applied(), least});
    if (at.running()) show_copies(at, at.host().applied());
  });
}

void plan_operators::show_copies(const control_machine& at,
                                 consensus::log_index applied) {
  std::vector<waiting_copy> ready;
  std::erase_if(copies_, [&at, applied, &ready](const waiting_copy& it) {
    if (it.at != &at || it.index > applied) return false;
    ready.push_back(it);
    return true;
  });
  for (const waiting_copy& it : ready) show(at, it.least);
}

void plan_operators::show(const control_machine& from, plan_number least) {
  ++reads_;
  const plan_number number = number_in_force(from);
  shown_ = std::max(shown_, number);
  if (number >= least) return;
  violation_(nothing_lost, from.name + " shows " + std::to_string(number) +
                               " after " + std::to_string(least) +
                               " was acknowledged");
}

plan_number plan_operators::number_that_holds(const change& asked) const {
  if (asked.plan) {
    const bool valid = !asked.plan->document.starts_with(invalid_mark);
    return valid ? asked.plan->number : 0;
  }
  if (!asked.edited_plan || asked.edited_plan->base != highest_) return 0;
  for (const route& it : asked.edited_plan->delta.written) {
    if (it.split.front().service == unknown_service) return 0;
  }
  return asked.edited_plan->delta.number;
}

void plan_operators::observe_applied(const control_machine& by,
                                     const consensus::entry& committed) {
  const auto [it, added] = log_.emplace(committed.index, committed.data);
  if (!added && it->second != committed.data) {
    violation_(same_log, by.name + " applied another entry at " +
                             std::to_string(committed.index));
    return;
  }
  if (added) {
    const result<change> asked = change_from(*parse_json(committed.data));
    highest_ = std::max(highest_, number_that_holds(*asked));
    highest_at_[committed.index] = highest_;
  }
  const plan_number number = number_in_force(by);
  if (number != highest_at_[committed.index]) {
    violation_(highest_number_holds,
               by.name + " holds " + std::to_string(number) + " at index " +
                   std::to_string(committed.index) + ", not " +
                   std::to_string(highest_at_[committed.index]));
  }
  observe_in_force(by);
  show_copies(by, committed.index);
}

void plan_operators::observe_in_force(const control_machine& by) {
  const plan_ptr& plan = by.machine().plan();
  if (!plan) return;
  if (plan->document.starts_with(invalid_mark)) {
    violation_(no_invalid_plan, by.name + " holds " + plan->document);
  }
  const auto [it, added] = contents_.emplace(plan->number, plan->document);
  if (!added && it->second != plan->document) {
    violation_(one_content,
               by.name + " holds " + plan->document + " under number " +
                   std::to_string(plan->number) + ", not " + it->second);
  }
}

}  // namespace trestlepost::config::test

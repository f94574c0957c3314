#include "group_orders.h"

#include <utility>

#include "control_service.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr char submit_method[] = "config.submit";
constexpr char read_method[] = "config.read";
// A plan is acknowledged after this time even if some watchers have not
// confirmed it.
constexpr milliseconds longest_confirmation{3000};

constexpr char ask_again[] = "send the same request again";

}  // namespace

void group_orders::start() {
  calls_.start();
  calls_.handle(submit_method,
                [this](const json& params, const answer_function& answer) {
                  result<config::change> asked =
                      config::decode_change(text_of(params, "change"));
                  if (asked) {
                    take(std::move(*asked), answer);
                  } else {
                    answer(tl::make_unexpected(asked.error()));
                  }
                });
  calls_.handle(
      read_method,
      [this](const json&, const answer_function& answer) { confirm(answer); });
}

void group_orders::tick() {
  calls_.tick();
  finish_reads();
  acknowledge_confirmed();
}

void group_orders::submit(config::change asked, const answer_function& answer) {
  if (!control_.follows_leader()) {
    take(std::move(asked), answer);
    return;
  }
  json params;
  params["change"] = config::encode_change(asked);
  calls_.call(control_.leader_address(), submit_method, std::move(params),
              answer);
}

void group_orders::take(config::change asked, const answer_function& answer) {
  if (!control_.leads()) {
    answer(
        fail(error_kind::unavailable, "no control node leads now", ask_again));
    return;
  }
  if (!control_.may_acknowledge()) {
    answer(fail(error_kind::unavailable, "control nodes are still joining",
                ask_again));
    return;
  }
  if (!asked.edited_plan) {
    control_.propose(std::move(asked), answer);
    return;
  }
  control_.propose(std::move(asked),
                   [this, answer](const result<json>& outcome) {
                     if (outcome) {
                       await_confirmation(*outcome, answer);
                     } else {
                       answer(outcome);
                     }
                   });
}

void group_orders::await_confirmation(const json& outcome,
                                      const answer_function& answer) {
  const config::change_result decided = config::change_result_from(outcome);
  if (decided.status != config::change_status::accepted) {
    answer(outcome);
    return;
  }
  if (decided.revision != newest_revision_) {
    newest_revision_ = decided.revision;
    newest_decided_at_ = context_.clock.now();
  }
  unconfirmed_.push_back(
      {decided.revision, newest_decided_at_, outcome, answer});
}

void group_orders::acknowledge_confirmed() {
  const monotonic_time now = context_.clock.now();
  std::vector<unconfirmed_plan> ready;
  std::erase_if(unconfirmed_, [this, now, &ready](unconfirmed_plan& it) {
    const bool late = it.decided_at + longest_confirmation < now;
    if (!late && !control_.is_confirmed(it.revision)) return false;
    ready.push_back(std::move(it));
    return true;
  });
  for (const unconfirmed_plan& it : ready) it.answer(it.outcome);
}

void group_orders::confirm(const answer_function& answer) {
  const result<void> asked = control_.confirm_read([this, answer] {
    json out;
    out["index"] = as_number(control_.host().applied());
    answer(out);
  });
  if (!asked) answer(tl::make_unexpected(asked.error()));
}

void group_orders::read_here(const answer_function& answer) {
  if (!control_.follows_leader()) {
    confirm(answer);
    return;
  }
  calls_.call(
      control_.leader_address(), read_method, json(Json::objectValue),
      [this, answer](const result<json>& confirmed) {
        if (!confirmed) {
          answer(confirmed);
          return;
        }
        waiting_reads_.push_back({number_of(*confirmed, "index"), answer});
        finish_reads();
      });
}

void group_orders::finish_reads() {
  const consensus::log_index applied = control_.host().applied();
  std::vector<waiting_read> ready;
  std::erase_if(waiting_reads_, [applied, &ready](waiting_read& it) {
    if (it.index > applied) return false;
    ready.push_back(std::move(it));
    return true;
  });
  for (const waiting_read& it : ready) it.answer(json(Json::objectValue));
}

}  // namespace trestlepost::node

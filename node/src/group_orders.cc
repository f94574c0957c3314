#include "group_orders.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "control_service.h"
#include "trestlepost/base/log.h"
#include "trestlepost/base/log_fields.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr char submit_method[] = "config.submit";
constexpr char read_method[] = "config.read";
// A plan is acknowledged after this time even if some watchers have not
// confirmed it.
constexpr milliseconds max_confirmation_wait{3000};
// An evacuation that was given longer ago is void. Operators repeat an order at
// another node when they have had no answer for this time.
constexpr milliseconds evacuation_lifetime{1000};
// A change that was decided so soon after the arrival of an order has not
// overtaken it: no sender gives an order up and has another one decided in this
// time. It covers the granularity of times between nodes.
constexpr milliseconds min_overtaking_time{25};

// Nodes that a log line names.
constexpr std::size_t max_named = 5;

constexpr char retry_remedy[] = "send the same request again";

tl::unexpected<error> no_leader() {
  return fail(error_kind::unavailable, "no control node leads now",
              retry_remedy);
}

json as_ms(monotonic_time at) {
  return as_number(std::chrono::floor<milliseconds>(at.time_since_epoch()));
}

monotonic_time time_from(std::uint64_t ms) {
  return monotonic_time(milliseconds(ms));
}

}  // namespace

void group_orders::start() {
  calls_.start();
  calls_.handle(submit_method,
                [this](const json& params, const answer_function& answer) {
                  handle_submitted(params, answer);
                });
  calls_.handle(read_method,
                [this](const json&, const answer_function& answer) {
                  confirm_as_leader(answer);
                });
}

void group_orders::tick() {
  arrivals_.record_tick(
      {context_.clock.now(), control_.machine().store().revision()});
  calls_.tick();
  complete_reads();
  acknowledge_confirmed();
}

void group_orders::submit(config::change requested, const node_moment& given,
                          const answer_function& answer) {
  if (!control_.follows_leader()) {
    propose_as_leader(std::move(requested), given, answer);
    return;
  }
  const consensus::term_number term = control_.host().core().term();
  const std::optional<monotonic_time> given_at =
      leader_clock_.to_leader_time(term, given.at);
  if (!given_at) {
    answer(fail(error_kind::unavailable, "the leader has not been heard yet",
                retry_remedy));
    return;
  }
  json params;
  params["change"] = config::encode_change(requested);
  params["term"] = as_number(term);
  params["given_ms"] = as_ms(*given_at);
  params["revision"] = as_number(given.revision);
  calls_.call(control_.leader_address(), submit_method, std::move(params),
              answer);
}

void group_orders::handle_submitted(const json& params,
                                    const answer_function& answer) {
  result<config::change> requested =
      config::decode_change(text_of(params, "change"));
  if (!requested) {
    answer(tl::make_unexpected(requested.error()));
    return;
  }
  const consensus::term_number term = control_.host().core().term();
  if (number_of(params, "term") != term) {
    answer(no_leader());
    return;
  }
  const node_moment given{time_from(number_of(params, "given_ms")),
                          number_of(params, "revision")};
  propose_as_leader(std::move(*requested), given, answer);
}

void group_orders::record_decision() {
  decisions_.record(control_.host().core().term(),
                    control_.machine().store().revision(),
                    context_.clock.now());
}

void group_orders::propose_as_leader(config::change requested,
                                     const node_moment& given,
                                     const answer_function& answer) {
  if (!control_.leads()) {
    answer(no_leader());
    return;
  }
  if (requested.evacuation) {
    if (given.at + evacuation_lifetime < context_.clock.now()) {
      log_event(log_level::info, "order-expired",
                {{"zone", requested.evacuation->availability_zone},
                 {"change_id", requested.id}});
      answer(fail(error_kind::deadline, "the order was given too long ago",
                  retry_remedy));
      return;
    }
    requested.evacuation->base =
        std::max(given.revision,
                 decisions_.decided_before(control_.host().core().term(),
                                           given.at + min_overtaking_time));
  }
  if (!control_.may_acknowledge()) {
    answer(fail(error_kind::unavailable, "control nodes are still joining",
                retry_remedy));
    return;
  }
  if (!requested.edited_plan) {
    control_.propose(std::move(requested), answer);
    return;
  }
  control_.propose(std::move(requested),
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
    const bool late = it.decided_at + max_confirmation_wait < now;
    if (!late && !control_.is_confirmed(it.revision)) return false;
    ready.push_back(std::move(it));
    return true;
  });
  for (const unconfirmed_plan& it : ready) {
    log_acknowledgement(it);
    it.answer(it.outcome);
  }
}

void group_orders::log_acknowledgement(const unconfirmed_plan& it) const {
  const std::vector<std::string> missing =
      control_.watchers_without(it.revision);
  std::string names;
  for (std::size_t i = 0; i < std::min(missing.size(), max_named); ++i) {
    names += (names.empty() ? "" : ", ") + missing[i];
  }
  log_event(missing.empty() ? log_level::info : log_level::warn,
            "plan-acknowledged",
            {{"revision", std::to_string(it.revision)},
             {"ms", ms_between(it.decided_at, context_.clock.now())},
             {"nodes_without", std::to_string(missing.size())},
             {"names", names}});
}

void group_orders::confirm_as_leader(const answer_function& answer) {
  const result<void> started = control_.confirm_read([this, answer] {
    json out;
    out["index"] = as_number(control_.host().applied());
    answer(out);
  });
  if (!started) answer(tl::make_unexpected(started.error()));
}

void group_orders::read(const answer_function& answer) {
  if (!control_.follows_leader()) {
    confirm_as_leader(answer);
    return;
  }
  calls_.call(
      control_.leader_address(), read_method, json(Json::objectValue),
      [this, answer](const result<json>& confirmed) {
        if (!confirmed) {
          answer(confirmed);
          return;
        }
        pending_reads_.push_back({number_of(*confirmed, "index"), answer});
        complete_reads();
      });
}

void group_orders::complete_reads() {
  const consensus::log_index applied = control_.host().applied();
  std::vector<pending_read> ready;
  std::erase_if(pending_reads_, [applied, &ready](pending_read& it) {
    if (it.index > applied) return false;
    ready.push_back(std::move(it));
    return true;
  });
  for (const pending_read& it : ready) it.answer(json(Json::objectValue));
}

}  // namespace trestlepost::node

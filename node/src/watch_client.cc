#include "watch_client.h"

#include <algorithm>
#include <set>
#include <utility>

#include "disk/background_storage.h"
#include "trestlepost/base/log.h"
#include "trestlepost/config/stored_copy.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Maximum number of unanswered polls that are kept; older ones are dropped.
constexpr std::size_t max_pending_polls = 64;
// In poll intervals: a leader that confirms nothing for this long is looked up
// again.
constexpr int max_unanswered_polls = 3;
constexpr milliseconds lag_check_interval{250};
// A node that others have been ahead of for longer serves no requests: a plan
// may have been acknowledged without it.
constexpr milliseconds max_lag{2000};

/// Whether the revision of `store` is one of `group`. Earlier versions of nodes
/// don't name their group.
bool is_same_group(const config::object_store& store,
                   const std::string& group) {
  return store.group().empty() || group.empty() || store.group() == group;
}

std::string join(const std::set<std::string>& names) {
  std::string out;
  for (const std::string& it : names) out += (out.empty() ? "" : ", ") + it;
  return out;
}

}  // namespace

watch_client::watch_client(node_context& context,
                           std::function<membership::heartbeat()> beat)
    : context_(context),
      make_heartbeat_(std::move(beat)),
      finder_(max_unanswered_polls * context.options.timing.poll_interval),
      poll_numbers_(context.random),
      scheduler_(context.options.timing.poll_interval, context.random),
      newer_(context, [this](const json& update) { apply(update); }) {}

void watch_client::start() {
  if (!context_.options.data_folder.empty()) {
    const std::string& folder = context_.options.data_folder;
    context_.store = config::load_copy(folder);
    saver_ = std::make_unique<configuration_saver>(
        event_loop_executor(context_),
        [folder](const config::object_store& it) {
          return config::save_copy(folder, it);
        },
        [this](const configuration_saver::store_ptr& saved,
               const result<void>& written) { handle_saved(*saved, written); });
  }
  context_.peers.add_notification(
      "config.update",
      [this](const json& params, const transport::rpc_context&) {
        handle_update(params);
      });
  newer_.start();
  context_.peers.add_notification(
      directory_method,
      [this](const json& params, const transport::rpc_context&) {
        handle_directory(params);
      });
}

poll_situation watch_client::situation() {
  const monotonic_time now = context_.clock.now();
  const std::string& leader = finder_.leader(now);
  return {context_.state.confirmed_at(now),
          leader.empty() ? "" : context_.peer_address(leader),
          context_.control_addresses()};
}

void watch_client::tick() {
  check_lag();
  const monotonic_time now = context_.clock.now();
  if (!scheduler_.is_due(now)) return;
  const std::optional<planned_poll> planned = scheduler_.next(situation(), now);
  if (planned) poll(*planned);
}

void watch_client::check_lag() {
  const monotonic_time now = context_.clock.now();
  if (now < next_lag_check_) return;
  next_lag_check_ = now + lag_check_interval;
  const config::revision_number newest = newest_reported(context_);
  lag_.record(context_.store.revision(), newest,
              context_.state.last_confirmed_at(), now);
  const milliseconds lag = lag_.lag(now);
  newer_.tick(newest, lag);
  context_.state.set_outdated(lag >= max_lag);
}

void watch_client::poll(const planned_poll& planned) {
  json params;
  const std::uint64_t token = poll_numbers_.next();
  params["token"] = as_number(token);
  params["forward"] = planned.forward;
  params["takes_directory"] = true;
  const membership::heartbeat beat = make_heartbeat_();
  add_identity(params, beat);
  params["revision"] = as_number(context_.store.revision());
  params["group"] = context_.store.group();
  if (!context_.state.confirmed_at(context_.clock.now())) {
    params["unconfirmed"] = true;
  }
  add_position(params, directory_position_);
  if (update_missed_) params["missed"] = true;
  update_missed_ = false;
  pending_polls_.push_back(
      {token, planned.address, context_.clock.now(), beat.state});
  if (pending_polls_.size() > max_pending_polls) pending_polls_.pop_front();
  context_.links.send(planned.address, "config.poll", params);
}

void watch_client::add_identity(json& params,
                                const membership::heartbeat& beat) const {
  if (identified_state_ != beat.state) {
    params["heartbeat"] = membership::to_json(beat);
    return;
  }
  json& alive = params["alive"];
  alive["name"] = beat.node.name;
  alive["incarnation"] = as_number(beat.node.incarnation);
  alive["sequence"] = as_number(beat.sequence);
  alive["address"] = beat.node.peer_address;
}

void watch_client::handle_update(const json& params) {
  const std::string recipient = text_of(params, "for");
  if (!recipient.empty() && recipient != context_.self.peer_address) {
    // This node forwarded the recipient's poll, since the recipient may not be
    // able to reach the leader.
    context_.links.send(recipient, "config.update", params);
    return;
  }
  record_leader(params);
  if (flag_of(params, "stranger")) {
    identified_state_.clear();
    scheduler_.poll_now();
  }
  const std::uint64_t token = number_of(params, "token");
  const auto pending = std::find_if(
      pending_polls_.begin(), pending_polls_.end(),
      [token](const pending_poll& it) { return it.token == token; });
  const json& update = member_of(params, "update");
  if (update.isObject()) apply(update);
  if (pending == pending_polls_.end()) return;
  scheduler_.record_answer(pending->address);
  // A follower's answer is not final: it may have forwarded the poll to the
  // leader.
  if (!flag_of(params, "confirmed")) return;
  finder_.confirmed(context_.clock.now());
  scheduler_.record_confirmation();
  identified_state_ = pending->state;
  read_answer(update);
  const leader_position position{text_of(update, "group"),
                                 number_of(update, "to")};
  confirm(position, pending->sent_at);
  pending_polls_.erase(pending);
}

void watch_client::record_leader(const json& params) {
  const std::string leader = text_of(params, "leader");
  const std::string leader_address = text_of(params, "leader_address");
  if (!leader_address.empty())
    context_.observed_addresses[leader] = leader_address;
  finder_.set_leader(leader, context_.clock.now());
  if (leader.empty() || leader == named_leader_) return;
  named_leader_ = leader;
  // The new leader may not know this node.
  identified_state_.clear();
  scheduler_.record_new_leader(context_.clock.now());
}

void watch_client::confirm(const leader_position& leader,
                           monotonic_time sent_at) {
  const bool current = context_.store.revision() >= leader.revision;
  if (!current) {
    unsaved_answer_ = {leader, sent_at};
  } else if (is_same_group(context_.store, leader.group)) {
    context_.state.confirm(sent_at, context_.clock.now());
  }
}

void watch_client::apply(const json& value) {
  const configuration_saver::store_ptr unsaved =
      saver_ ? saver_->newest() : nullptr;
  const config::object_store& base = unsaved ? *unsaved : context_.store;
  // Check the cheap fields before decoding the whole update.
  const bool newer = number_of(value, "to") > base.revision();
  if (!newer || !config::has_content(value)) return;
  const std::string group = text_of(value, "group");
  const bool same_group = is_same_group(base, group);
  const result<config::watch_update> update = config::watch_update_from(value);
  if (!update) {
    request_missed_update(update.error());
    return;
  }
  config::object_store next = same_group ? base : config::object_store();
  const result<void> applied = config::apply_update(next, *update);
  if (!applied) {
    request_missed_update(applied.error());
    return;
  }
  if (!same_group) {
    log_event(log_level::warn, "configuration-group-changed",
              {{"from", base.group()}, {"to", group}});
    next.end_missing_evacuations(base);
  }
  if (!group.empty()) next.set_group(group);
  if (saver_) {
    // Saved before it takes effect, so that a restart doesn't return to an
    // older revision.
    saver_->save(std::make_shared<const config::object_store>(std::move(next)));
  } else {
    set_configuration(std::move(next));
  }
}

void watch_client::handle_saved(const config::object_store& saved,
                                const result<void>& written) {
  if (!written) {
    log_event(log_level::error, "configuration-copy-failed",
              {{"detail", written.error().message}});
  }
  set_configuration(saved);
  const std::optional<unsaved_answer> answer =
      std::exchange(unsaved_answer_, std::nullopt);
  if (answer) confirm(answer->leader, answer->poll_sent_at);
}

void watch_client::set_configuration(config::object_store next) {
  context_.store = std::move(next);
  // Reports the revision to the leader, which waits for it before it
  // acknowledges a plan.
  scheduler_.poll_now();
  log_event(log_level::info, "configuration-in-force",
            {{"revision", std::to_string(context_.store.revision())},
             {"group", context_.store.group()},
             {"evacuated_zones", join(context_.store.evacuated_zones())}});
  if (on_changed) on_changed();
}

void watch_client::request_missed_update(const error& cause) {
  log_event(log_level::warn, "configuration-update-missed",
            {{"revision", std::to_string(context_.store.revision())},
             {"detail", cause.message}});
  update_missed_ = true;
  scheduler_.poll_now();
}

void watch_client::handle_directory(const json& params) {
  record_entries(params);
  const directory_position next = directory_position_from(params);
  const std::uint64_t from = number_of(params, "from");
  const bool same_term = next.term == directory_position_.term;
  // Messages that overtake others leave gaps.
  const bool complete =
      from == 0 || (same_term && from <= directory_position_.version);
  const bool newer = !same_term || next.version > directory_position_.version;
  if (complete && newer) directory_position_ = next;
}

void watch_client::record_entries(const json& update) {
  for (const json& it : member_of(update, "book")) {
    const membership::node_info info = membership::node_info_from(it);
    if (!info.name.empty()) context_.known_nodes[info.name] = info;
  }
}

void watch_client::read_answer(const json& update) {
  if (update.isMember("book")) {
    record_entries(update);
    directory_position_ = directory_position_from(update);
  }
  for (const json& it : member_of(update, "ledgers")) {
    const config::ledger_founding one = config::ledger_founding_from(it);
    ledgers_[one.region] = one;
  }
}

}  // namespace trestlepost::node

// Polls of watchers, which control_service.h declares.
#include <chrono>
#include <utility>

#include "control_service.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// How long a poll is saved; longer than an election takes.
constexpr milliseconds saved_poll_lifetime{2000};

/// Returns the address at which the node that sent the poll accepts peers.
std::string address_of_poller(const json& poll) {
  const json& alive = member_of(poll, "alive");
  return alive.isObject()
             ? text_of(alive, "address")
             : text_of(member_of(member_of(poll, "heartbeat"), "node"),
                       "peer_address");
}

/// Whether the node that sent the poll may not reach the leader. Nodes of
/// earlier versions don't say so.
bool wants_forwarding(const json& poll) {
  return !poll.isMember("forward") || flag_of(poll, "forward");
}

}  // namespace

std::string control_service::identify_poller(const json& params) {
  const monotonic_time now = context_.clock.now();
  const json& alive = member_of(params, "alive");
  if (!alive.isObject()) {
    const membership::heartbeat beat =
        membership::heartbeat_from(member_of(params, "heartbeat"));
    if (!leads()) return "";
    context_.nodes.observe(beat, now);
    node_directory_.record(beat.node);
    return beat.node.name;
  }
  const std::string name = text_of(alive, "name");
  const std::uint64_t incarnation = number_of(alive, "incarnation");
  const membership::node_info* recorded = node_directory_.find(name);
  const bool in_directory =
      recorded != nullptr && recorded->incarnation == incarnation;
  const bool known =
      in_directory && context_.nodes.observe_alive(
                          name, incarnation, number_of(alive, "sequence"),
                          number_of(params, "revision"), now);
  return known ? name : "";
}

void control_service::forward_poll(const json& params) {
  const std::string leader = leader_address();
  const bool already_forwarded = !text_of(params, "via").empty();
  if (already_forwarded || leader.empty() ||
      leader == context_.self.peer_address) {
    return;
  }
  json forwarded = params;
  forwarded["via"] = context_.self.peer_address;
  ++load_.counters().passed_on;
  context_.links.send(leader, "config.poll", forwarded);
}

void control_service::handle_poll(const json& params) {
  ++load_.counters().polls;
  const std::string via = text_of(params, "via");
  if (!via.empty()) ++load_.counters().forwarded_polls;
  polls_.push({address_of_poller(params), via, params});
  answer_polls();
}

void control_service::answer_polls() {
  while (const std::optional<queued_poll> next = polls_.pop()) {
    const monotonic_time started_at = context_.clock.now();
    answer_poll(*next);
    polls_.record_duration(context_.clock.now() - started_at);
  }
}

void control_service::answer_poll(const queued_poll& poll) {
  const json& params = poll.message;
  const std::string poller = identify_poller(params);
  json answer;
  answer["token"] = as_number(number_of(params, "token"));
  answer["leader"] = leader_node();
  answer["leader_address"] = leader_address();
  if (leads() && poller.empty()) {
    // The sender's region is needed to select directory entries, so it must
    // send its full heartbeat first.
    answer["stranger"] = true;
  } else if (leads()) {
    answer["confirmed"] = true;
    answer["update"] = answer_as_leader(poller, poll);
  } else {
    // A node that does not lead sends no configuration: its copy may be
    // outdated, and a gateway using it could run requests outside their home
    // regions.
    if (wants_forwarding(params)) forward_poll(params);
    if (poll.via.empty()) save_poll(poll.address, params);
  }
  if (!poll.via.empty()) answer["for"] = poll.address;
  context_.links.send(poll.via.empty() ? poll.address : poll.via,
                      "config.update", answer);
}

json control_service::answer_as_leader(const std::string& poller,
                                       const queued_poll& poll) {
  const json& params = poll.message;
  const json& alive = member_of(params, "alive");
  const json& sender =
      alive.isObject() ? alive : member_of(params, "heartbeat");
  const bool foreign = is_foreign(params);
  watchers_.start_term(host_->core().term());
  if (foreign) continue_after(params);
  const config::revision_number held =
      foreign ? 0 : number_of(params, "revision");
  // Sends the configuration before the answer, so that it is in force when the
  // answer arrives.
  watchers_.handle_poll({poller, poll.address, poll.via,
                         number_of(sender, "sequence"), held,
                         flag_of(params, "missed")});
  orders_.acknowledge_confirmed();
  ++load_.counters().answers;
  json update = make_update();
  const directory_position known = directory_position_from(params);
  const std::string& region = node_directory_.find(poller)->region;
  if (poll.via.empty() && flag_of(params, "takes_directory")) {
    send_directory(poll.address, known, region);
  } else {
    add_directory(update, known, region);
  }
  return update;
}

bool control_service::is_foreign(const json& poll) const {
  const std::string group = text_of(poll, "group");
  return !group.empty() && group != host_->core().group_id();
}

void control_service::continue_after(const json& poll) {
  const config::revision_number held = number_of(poll, "revision");
  const config::revision_number own = machine_.store().revision();
  // A watcher that is still confirmed has a leader in the other group. A group
  // without any change has nothing to replace the configuration with.
  if (held < own || own == 0 || !flag_of(poll, "unconfirmed")) return;
  config::change requested;
  requested.operator_name = "trestlepost";
  requested.epoch = config::epoch_of(held) + 1;
  requested.id = "epoch-" + host_->core().group_id() + "-" +
                 std::to_string(*requested.epoch);
  const bool pending = pending_changes_.contains(requested.id);
  if (pending || machine_.result_of(requested.id)) return;
  log_event(log_level::warn, "epoch-proposed",
            {{"lost_group", text_of(poll, "group")},
             {"revision", std::to_string(held)},
             {"own_revision", std::to_string(own)}});
  propose(std::move(requested), [](const result<json>&) {});
}

void control_service::save_poll(const std::string& address,
                                const json& params) {
  saved_polls_[address] = {params, context_.clock.now(), leader_node()};
}

void control_service::answer_saved_polls() {
  if (saved_polls_.empty()) return;
  const monotonic_time now = context_.clock.now();
  std::erase_if(saved_polls_, [now](const auto& it) {
    return it.second.at + saved_poll_lifetime < now;
  });
  const std::string leader = leader_node();
  for (auto& [address, it] : saved_polls_) {
    const bool new_leader = !leader.empty() && leader != it.named_leader;
    if (!leads() && !new_leader) continue;
    it.named_leader = leader;
    polls_.push({address, "", it.params});
  }
  if (leads()) saved_polls_.clear();
}

void control_service::send_directory(const std::string& address,
                                     const directory_position& known,
                                     const std::string& region) {
  const directory_publisher::published* changes =
      directory_publisher_.changes_for(known, host_->core().term(), region,
                                       context_.clock.now());
  if (changes == nullptr) return;
  context_.links.send(address, changes->message);
  load_.counters().directory_entries += changes->entries;
}

void control_service::add_directory(json& update,
                                    const directory_position& known,
                                    const std::string& region) {
  const std::uint64_t term = host_->core().term();
  node_directory_.add_changes(
      update, node_directory_.first_missing(known, term), region);
  add_position(update, {term, node_directory_.version()});
  load_.counters().directory_entries += member_of(update, "book").size();
}

json control_service::make_update() const {
  json out;
  out["to"] = as_number(machine_.store().revision());
  out["group"] = host_->core().group_id();
  json& ledgers = out["ledgers"] = json(Json::arrayValue);
  for (const auto& [name, it] : machine_.ledgers()) {
    ledgers.append(config::to_json(it));
  }
  return out;
}

}  // namespace trestlepost::node

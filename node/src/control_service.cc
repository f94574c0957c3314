#include "control_service.h"

#include <algorithm>
#include <utility>

#include "audit_search.h"
#include "disk/background_storage.h"
#include "ledger_voters.h"
#include "orders/change_summary.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Watchers that lost their leader poll the new one within this time.
constexpr milliseconds watcher_discovery_time{1000};
constexpr milliseconds join_interval{400};
// Delay between attempts to restart the replica from disk after a failed
// write.
constexpr milliseconds restart_interval{500};
// A proposed change without an outcome after this time is no longer tracked.
constexpr milliseconds pending_change_lifetime{30'000};
constexpr milliseconds founding_timeout{5000};
// How long a poll is saved; longer than an election takes.
constexpr milliseconds saved_poll_lifetime{2000};
// In election timeouts: a new leader founds ledgers only after this delay, when
// it has received the polls of all nodes.
constexpr int ledger_founding_delay = 4;

consensus::group_options make_group_options(const settings& options) {
  consensus::group_options out;
  out.replica.election_timeout = options.timing.election_timeout;
  out.replica.heartbeat_interval = options.timing.election_timeout / 5;
  out.snapshot_every = options.snapshot_every;
  return out;
}

}  // namespace

result<void> control_service::start() {
  machine_.on_decided = [this](const config::audit_record& it) {
    on_decided(it);
  };
  host_ = std::make_unique<consensus::group_host>(
      consensus::replica_id{context_.self.name, context_.self.incarnation},
      make_group_options(context_.options), open_storage(), machine_, *this,
      context_.random);
  std::vector<std::string> voters;
  for (const control_node& it : context_.options.control_nodes) {
    voters.push_back(it.name);
  }
  if (voters.empty()) {
    consensus::open_membership open;
    open.min_voters =
        consensus::voters_to_tolerate(context_.options.tolerated_losses);
    host_->set_open_membership(open);
  } else {
    host_->set_desired_voters(std::move(voters));
  }
  register_peer_methods();
  result<void> started = host_->start(context_.clock.now());
  if (started) found_from_seeds();
  return started;
}

std::unique_ptr<consensus::storage> control_service::open_storage() const {
  return make_background_storage(context_, "config");
}

void control_service::restart_after_failure() {
  const monotonic_time now = context_.clock.now();
  if (!host_->failure() || now < next_restart_) return;
  next_restart_ = now + restart_interval;
  const result<void> done = host_->restart(now, open_storage());
  if (done) {
    log_event(log_level::info, "storage-restored");
  } else {
    log_event(log_level::error, "storage-still-failing",
              {{"detail", done.error().message}});
  }
}

void control_service::found_from_seeds() {
  const settings& options = context_.options;
  const bool founder = options.found_at_first_start && !options.seeds.empty() &&
                       options.seeds.front() == context_.self.peer_address;
  if (!founder || !host_->core().group_id().empty()) return;
  const std::string group_id = make_request_id(context_.random);
  const consensus::member self{host_->core().self(), true,
                               context_.self.peer_address};
  const result<void> done =
      host_->found(context_.clock.now(), group_id, {self});
  if (done) {
    log_event(log_level::info, "group-founded", {{"group_id", group_id}});
  } else {
    log_event(log_level::error, "founding-failed",
              {{"detail", done.error().message}});
  }
}

bool control_service::may_acknowledge() const {
  if (!leads()) return false;
  if (machine_.store().plan()) return true;
  // Before the first plan the group may still be growing. It must have enough
  // voters before an acknowledged change can survive the tolerated losses.
  return formation_.is_formed(
      *host_, context_.clock.now(),
      consensus::voters_to_tolerate(context_.options.tolerated_losses));
}

result<void> control_service::confirm_read(std::function<void()> ready) {
  return host_->request_read(context_.clock.now(), next_read_++,
                             std::move(ready));
}

void control_service::handle_join(const json& params) {
  const consensus::replica_id joiner = consensus::replica_id_from(params);
  const std::string address = text_of(params, "address");
  const monotonic_time now = context_.clock.now();
  if (formation_.handle_join(*host_, now, joiner, address)) return;
  const std::string leader = leader_node();
  if (leader.empty() || flag_of(params, "passed_on")) return;
  json forwarded = params;
  forwarded["passed_on"] = true;
  context_.links.send(address_of(leader), "config.join", forwarded);
}

std::string control_service::leader_address() const {
  return address_of(leader_node());
}

std::string control_service::address_of(const std::string& node) const {
  const std::string known = formation_.address_of(*host_, node);
  return known.empty() ? context_.peer_address(node) : known;
}

void control_service::register_peer_methods() {
  transport::rpc_dispatcher& peers = context_.peers;
  peers.add_notification(
      "config.consensus",
      [this](const json& params, const transport::rpc_context&) {
        const result<consensus::message> in = consensus::message_from(params);
        if (!in) return;
        formation_.record_address(*host_, context_.clock.now(), in->from,
                                  text_of(params, "from_address"));
        const std::uint64_t leader_ms = number_of(params, "leader_ms");
        if (leader_ms > 0) {
          orders_.record_leader_time(in->term,
                                     monotonic_time(milliseconds(leader_ms)));
        }
        host_->receive(context_.clock.now(), *in);
        orders_.complete_reads();
      });
  orders_.start();
  peers.add_notification(
      "config.join", [this](const json& params, const transport::rpc_context&) {
        handle_join(params);
      });
  peers.add_notification(
      "config.poll", [this](const json& params, const transport::rpc_context&) {
        handle_poll(params);
      });
  peers.add_notification("crash.report", [this](const json& params,
                                                const transport::rpc_context&) {
    hold_proposer_.handle_report(params);
  });
  peers.add_notification("config.probe", [this](const json& params,
                                                const transport::rpc_context&) {
    handle_probe(params);
  });
  peers.add_notification(
      "config.probed",
      [this](const json& params, const transport::rpc_context&) {
        handle_probe_answer(params);
      });
}

void control_service::send(const consensus::message& out) {
  json params = consensus::to_json(out);
  params["from_address"] = context_.self.peer_address;
  if (is_leader()) {
    const monotonic_time now = context_.clock.now();
    params["leader_ms"] =
        as_number(std::chrono::floor<milliseconds>(now.time_since_epoch()));
  }
  context_.links.send(address_of(out.to.node), "config.consensus", params);
}

bool control_service::leads() const {
  return host_->holds_lease(context_.clock.now());
}

std::string control_service::leader_node() const {
  const std::optional<consensus::replica_id> leader = host_->core().leader();
  return leader ? leader->node : "";
}

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
  context_.links.send(leader, "config.poll", forwarded);
}

void control_service::handle_poll(const json& params) {
  const json& alive = member_of(params, "alive");
  const json& beat = member_of(params, "heartbeat");
  const std::string address =
      alive.isObject() ? text_of(alive, "address")
                       : text_of(member_of(beat, "node"), "peer_address");
  const std::string poller = identify_poller(params);
  const std::string via = text_of(params, "via");
  json answer;
  answer["token"] = as_number(number_of(params, "token"));
  answer["leader"] = leader_node();
  answer["leader_address"] = leader_address();
  if (leads() && poller.empty()) {
    // The sender's region is needed to select directory entries, so it must
    // send its full heartbeat first.
    answer["stranger"] = true;
  } else if (leads()) {
    watchers_.start_term(host_->core().term());
    // Send the configuration first, so that it is in force when the answer
    // arrives.
    const json& sender = alive.isObject() ? alive : beat;
    const bool foreign = is_foreign(params);
    if (foreign) continue_after(params);
    const config::revision_number held =
        foreign ? 0 : number_of(params, "revision");
    watchers_.handle_poll({poller, address, via, number_of(sender, "sequence"),
                           held, flag_of(params, "missed")});
    orders_.acknowledge_confirmed();
    answer["confirmed"] = true;
    answer["update"] = make_update(directory_position_from(params),
                                   node_directory_.find(poller)->region);
  }
  // A node that does not lead sends no configuration: its copy may be
  // outdated, and a gateway using it could run requests outside their home
  // regions.
  if (!leads()) {
    forward_poll(params);
    if (via.empty()) save_poll(address, params);
  }
  if (!via.empty()) answer["for"] = address;
  context_.links.send(via.empty() ? address : via, "config.update", answer);
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
  saved_polls_[address] = {params, context_.clock.now()};
}

void control_service::answer_saved_polls() {
  if (saved_polls_.empty()) return;
  const monotonic_time now = context_.clock.now();
  std::erase_if(saved_polls_, [now](const auto& it) {
    return it.second.at + saved_poll_lifetime < now;
  });
  if (!leads()) return;
  const std::map<std::string, saved_poll> saved =
      std::exchange(saved_polls_, {});
  for (const auto& [address, it] : saved) handle_poll(it.params);
}

json control_service::make_update(const directory_position& known,
                                  const std::string& region) const {
  json out;
  out["to"] = as_number(machine_.store().revision());
  out["group"] = host_->core().group_id();
  node_directory_.add_changes(out, known, host_->core().term(), region);
  json& ledgers = out["ledgers"] = json(Json::arrayValue);
  for (const auto& [name, it] : machine_.ledgers()) {
    ledgers.append(config::to_json(it));
  }
  return out;
}

void control_service::on_decided(const config::audit_record& record) {
  // Every replica applies every change, and again when it replays its log;
  // only the leader logs it at info level.
  const bool logs = leads();
  log_event(logs ? log_level::info : log_level::debug, "change-decided",
            {{"change_id", record.change_id},
             {"operator", record.operator_name},
             {"status", std::string(to_string(record.outcome.status))},
             {"changed", logs ? summarize_change(record) : ""},
             {"revision", std::to_string(record.outcome.revision)}});
  const auto it = pending_changes_.find(record.change_id);
  if (it != pending_changes_.end()) {
    const std::vector<answer_function> answers = std::move(it->second.answers);
    pending_changes_.erase(it);
    for (const answer_function& answer : answers) {
      answer(config::to_json(record.outcome));
    }
  }
  if (!leads()) return;
  orders_.record_decision();
  watchers_.push_updates();
}

void control_service::propose(config::change requested,
                              const answer_function& answer) {
  const std::optional<config::change_result> known =
      machine_.first_result(requested);
  if (known && leads()) {
    answer(config::to_json(*known));
    return;
  }
  const std::string id = requested.id;
  requested.at = context_.clock.wall_now();
  pending_change& pending = pending_changes_[id];
  pending.since = context_.clock.now();
  pending.answers.push_back(answer);
  const result<consensus::log_index> proposed =
      host_->propose(context_.clock.now(), config::encode_change(requested));
  if (proposed) return;
  pending_changes_.erase(id);
  answer(tl::make_unexpected(proposed.error()));
}

bool control_service::follows_leader() const {
  const std::string leader = leader_node();
  return !leader.empty() && leader != context_.self.name;
}

bool control_service::is_confirmed(config::revision_number revision) const {
  const std::optional<monotonic_time> since = formation_.leading_since();
  const monotonic_time now = context_.clock.now();
  // A new leader does not know all watchers until they have polled it.
  const bool known = since && *since + watcher_discovery_time <= now;
  return known && watchers_.lowest_revision() >= revision;
}

result<json> control_service::recover() {
  const std::string group_id = make_request_id(context_.random);
  const result<void> done =
      host_->recover_alone(context_.clock.now(), group_id);
  if (!done) return tl::make_unexpected(done.error());
  log_event(log_level::warn, "group-recovered", {{"group_id", group_id}});
  json out;
  out["group_id"] = group_id;
  out["commit_index"] = as_number(host_->core().commit_index());
  return out;
}

void control_service::read_audit(const json& filter,
                                 const answer_function& answer) {
  const result<void> started = confirm_read([this, filter, answer] {
    answer(search_audit(machine_.audit(), filter));
  });
  if (!started) answer(tl::make_unexpected(started.error()));
}

tl::unexpected<error> founded_from_seeds() {
  return fail(error_kind::conflict,
              "this deployment founds its group from the seeds",
              "set found_at_first_start and start all control nodes");
}

void control_service::found(answer_function answer) {
  const std::vector<control_node>& all = context_.options.control_nodes;
  if (all.empty()) {
    answer(founded_from_seeds());
    return;
  }
  if (all.front().name != context_.self.name) {
    answer(fail(error_kind::bad_input,
                "only the first control node, " + all.front().name +
                    ", founds the group",
                "run `trestlepost init` against " + all.front().address));
    return;
  }
  if (!host_->core().group_id().empty()) {
    answer(fail(error_kind::conflict, "the configuration group exists already",
                "use it; `trestlepost status` shows it"));
    return;
  }
  if (founding_) {
    answer(fail(error_kind::in_progress,
                "the configuration group is being founded",
                "wait for it to end"));
    return;
  }
  founding_ = founding{std::move(answer), {}, context_.clock.now()};
  founding_->incarnations[context_.self.name] = context_.self.incarnation;
  for (const control_node& it : all) {
    if (it.name == context_.self.name) continue;
    json probe;
    probe["reply_to"] = context_.self.peer_address;
    context_.links.send(it.address, "config.probe", probe);
  }
  finish_founding_if_ready();
}

void control_service::handle_probe(const json& params) {
  json answer;
  answer["node"] = context_.self.name;
  answer["incarnation"] = as_number(context_.self.incarnation);
  answer["group_id"] = host_->core().group_id();
  context_.links.send(text_of(params, "reply_to"), "config.probed", answer);
}

void control_service::handle_probe_answer(const json& params) {
  if (!founding_) return;
  if (!text_of(params, "group_id").empty()) {
    const answer_function answer = std::move(founding_->answer);
    founding_.reset();
    answer(fail(error_kind::conflict,
                text_of(params, "node") + " belongs to a group already",
                "this node lost its disk: leave it running, it joins by "
                "itself"));
    return;
  }
  founding_->incarnations[text_of(params, "node")] =
      number_of(params, "incarnation");
  finish_founding_if_ready();
}

void control_service::finish_founding_if_ready() {
  if (!founding_) return;
  consensus::member_list members;
  for (const control_node& it : context_.options.control_nodes) {
    const auto found = founding_->incarnations.find(it.name);
    if (found == founding_->incarnations.end()) return;
    members.push_back({{it.name, found->second}, true});
  }
  const answer_function answer = std::move(founding_->answer);
  founding_.reset();
  const std::string group_id = make_request_id(context_.random);
  const result<void> done =
      host_->found(context_.clock.now(), group_id, members);
  if (!done) {
    answer(tl::make_unexpected(done.error()));
    return;
  }
  log_event(log_level::info, "group-founded", {{"group_id", group_id}});
  json out;
  out["group_id"] = group_id;
  out["members"] = consensus::to_json(members);
  answer(out);
}

void control_service::request_join() {
  const monotonic_time now = context_.clock.now();
  if (now < next_join_ || !host_->needs_join(now)) return;
  next_join_ = now + join_interval;
  json params = consensus::to_json(host_->core().self());
  params["address"] = context_.self.peer_address;
  for (const std::string& it : context_.control_addresses()) {
    if (it == context_.self.peer_address) continue;
    context_.links.send(it, "config.join", params);
  }
}

config::ledger_founding control_service::new_ledger(
    const std::string& region) const {
  std::vector<membership::node_info> gateways;
  for (const membership::node_record* it :
       context_.nodes.live_in(region, context_.clock.now())) {
    gateways.push_back(it->last.node);
  }
  config::ledger_founding out;
  out.region = region;
  out.group_id = make_request_id(context_.random);
  for (const membership::node_info& it :
       choose_ledger_voters(std::move(gateways))) {
    out.members.push_back({{it.name, it.incarnation}, true});
  }
  return out;
}

void control_service::found_ledgers() {
  const monotonic_time now = context_.clock.now();
  formation_.update(*host_, now, leads(), context_.self.peer_address);
  if (!formation_.leading_since()) {
    proposed_ledgers_.clear();
    return;
  }
  if (now <
      *formation_.leading_since() +
          ledger_founding_delay * context_.options.timing.election_timeout) {
    return;
  }
  for (const auto& [region, unused] : machine_.store().regions()) {
    if (machine_.ledgers().contains(region)) continue;
    if (proposed_ledgers_.contains(region)) continue;
    config::ledger_founding ledger = new_ledger(region);
    if (ledger.members.empty()) continue;
    config::change requested;
    requested.id = "found-ledger-" + region;
    requested.operator_name = "trestlepost";
    requested.founding = std::move(ledger);
    proposed_ledgers_.insert(region);
    propose(std::move(requested), [](const result<json>&) {});
  }
}

void control_service::log_lease_changes() {
  const monotonic_time now = context_.clock.now();
  const bool holds = leads();
  if (holds == had_lease_) return;
  const consensus::replica& core = host_->core();
  if (!holds && !core.is_leader()) {
    had_lease_ = false;
    return;
  }
  const std::string term = std::to_string(core.term());
  if (holds && lease_lapsed_at_ != monotonic_time()) {
    const milliseconds lapsed_for =
        std::chrono::duration_cast<milliseconds>(now - lease_lapsed_at_);
    log_event(log_level::info, "lease-renewed",
              {{"term", term}, {"ms", std::to_string(lapsed_for.count())}});
  } else if (!holds) {
    log_event(log_level::warn, "lease-lapsed", {{"term", term}});
  }
  had_lease_ = holds;
  lease_lapsed_at_ = holds ? monotonic_time() : now;
}

void control_service::tick() {
  const monotonic_time now = context_.clock.now();
  restart_after_failure();
  host_->tick(now);
  log_lease_changes();
  maintenance_.tick(host_->core());
  orders_.tick();
  request_join();
  found_ledgers();
  hold_proposer_.tick(leads());
  answer_saved_polls();
  std::erase_if(pending_changes_, [now](const auto& it) {
    return it.second.since + pending_change_lifetime < now;
  });
  if (founding_ && now >= founding_->started_at + founding_timeout) {
    const answer_function answer = std::move(founding_->answer);
    founding_.reset();
    answer(fail(error_kind::unavailable, "not every control node answered",
                "start all control nodes, then run `trestlepost init` again"));
  }
}

}  // namespace trestlepost::node

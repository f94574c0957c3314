#include "control_service.h"

#include <algorithm>
#include <utility>

#include "audit_search.h"
#include "disk/background_storage.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

// Watchers that lost their leader poll the new one within this time.
constexpr milliseconds watcher_discovery_time{1000};
// Delay between attempts to restart the replica from disk after a failed
// write.
constexpr milliseconds restart_interval{500};
// A proposed change without an outcome after this time is no longer tracked.
constexpr milliseconds pending_change_lifetime{30'000};
constexpr milliseconds founding_timeout{5000};

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

void control_service::on_decided(const config::audit_record& record) {
  hold_proposer_.apply_hold_changes();
  // Every replica applies every change, and again when it replays its log;
  // only the leader logs it at info level.
  const config::change_result& outcome = record.outcome;
  // The message of an invalid change may quote what the operator sent.
  const bool quotable = outcome.status != config::change_status::invalid;
  log_event(leads() ? log_level::info : log_level::debug, "change-decided",
            {{"change_id", record.change_id},
             {"operator", record.operator_name},
             {"status", std::string(to_string(outcome.status))},
             {"detail", quotable ? outcome.message : ""},
             {"revision", std::to_string(outcome.revision)}});
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
    ++load_.counters().lease_lapses;
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
  load_.tick(leader_node(), leads(), now);
  orders_.tick();
  request_join();
  found_ledgers();
  hold_proposer_.tick(leads());
  answer_saved_polls();
  polls_.start_tick();
  answer_polls();
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

#include "ledger_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "disk/background_storage.h"
#include "ledger_voters.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using ledger::claim_decision;
using std::chrono::milliseconds;
using transport::awaitable;

constexpr milliseconds election_timeout{600};
constexpr milliseconds heartbeat_interval{120};
constexpr milliseconds join_interval{500};
constexpr milliseconds fence_interval{300};
constexpr std::size_t attempt_prefix_size = 12;  // characters

}  // namespace

ledger_service::ledger_service(node_context& context)
    : context_(context),
      own_prefix_(
          make_request_id(context.random).substr(0, attempt_prefix_size) + "-"),
      claims_(*this) {
  claims_.set_own_prefix(own_prefix_);
  machine_.on_decided = [this](const claim_decision& it,
                               const std::string& key) {
    claims_.on_decided(it, key, context_.clock.now());
  };
  machine_.on_finished = [this](const std::string& attempt) {
    claims_.on_finished(attempt);
  };
}

void ledger_service::start() {
  register_peer_methods();
}

void ledger_service::register_peer_methods() {
  transport::rpc_dispatcher& peers = context_.peers;
  peers.add_notification(
      "ledger.consensus",
      [this](const json& params, const transport::rpc_context&) {
        const result<consensus::message> in = consensus::message_from(params);
        if (in && host_) host_->receive(context_.clock.now(), *in);
      });
  peers.add_notification(
      "ledger.join", [this](const json& params, const transport::rpc_context&) {
        if (!host_) return;
        host_->handle_join(context_.clock.now(),
                           consensus::replica_id_from(params));
      });
  peers.add_notification(
      "ledger.propose",
      [this](const json& params, const transport::rpc_context&) {
        const bool leads = host_ && host_->core().is_leader();
        if (leads) host_->propose(context_.clock.now(), to_text(params));
      });
  peers.add_notification("ledger.fence", [this](const json& params,
                                                const transport::rpc_context&) {
    handle_fence(params);
  });
  peers.add_notification(
      "ledger.fenced",
      [this](const json& params, const transport::rpc_context&) {
        handle_fenced(params);
      });
}

void ledger_service::start_replica(const config::ledger_founding& founding) {
  if (host_ || founding.region != context_.self.region) return;
  const consensus::replica_id self{context_.self.name,
                                   context_.self.incarnation};
  const bool durable = !context_.options.data_folder.empty();
  consensus::group_options options;
  options.replica.election_timeout = election_timeout;
  options.replica.heartbeat_interval = heartbeat_interval;
  options.snapshot_every = context_.options.snapshot_every;
  std::unique_ptr<consensus::storage> storage;
  if (durable) {
    storage = make_background_storage(context_, "ledger");
  } else {
    storage = std::make_unique<consensus::memory_storage>();
  }
  std::unique_ptr<consensus::group_host> host =
      std::make_unique<consensus::group_host>(self, options, std::move(storage),
                                              machine_, *this, context_.random);
  const monotonic_time now = context_.clock.now();
  const result<void> started = host->start(now);
  if (!started) {
    log_event(log_level::error, "ledger-start-failed",
              {{"detail", started.error().message}});
    return;
  }
  host_ = std::move(host);
  group_id_ = founding.group_id;
  update_voters();
  // All founding voters start from the same initial state, so none has to wait
  // for another. A voter that has a log continues with it.
  for (const consensus::member& it : founding.members) {
    if (it.id != self || !host_->core().group_id().empty()) continue;
    host_->found(now, founding.group_id, founding.members);
  }
}

void ledger_service::send(const consensus::message& out) {
  context_.links.send(context_.peer_address(out.to.node), "ledger.consensus",
                      consensus::to_json(out));
}

void ledger_service::propose(const json& command) {
  if (!host_) return;
  if (host_->core().is_leader()) {
    host_->propose(context_.clock.now(), to_text(command));
    return;
  }
  const std::optional<consensus::replica_id> leader = host_->core().leader();
  if (!leader) return;
  context_.links.send(context_.peer_address(leader->node), "ledger.propose",
                      command);
}

std::string ledger_service::make_attempt_id() {
  return own_prefix_ + make_request_id(context_.random);
}

awaitable<result<claim_decision>> ledger_service::wait_for_decision(
    begin_function begin, std::function<void()> on_timeout,
    monotonic_time deadline) {
  std::optional<claim_decision> answer;
  transport::timer timer(context_.io);
  timer.expires_at(deadline);
  begin([&answer, &timer](const claim_decision& it) {
    answer = it;
    timer.cancel();
  });
  if (!answer) {
    boost::system::error_code ec;
    co_await timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
  }
  if (answer) co_return *answer;
  on_timeout();
  co_return fail(error_kind::unavailable,
                 "the ledger of run-once requests has no majority",
                 "send it again after Retry-After; `trestlepost status` shows "
                 "the ledger");
}

awaitable<result<claim_decision>> ledger_service::claim(
    ledger::claim_command command, monotonic_time deadline) {
  const std::string attempt = command.attempt;
  begin_function begin =
      [this, &command](ledger::claim_table::decision_handler decided) {
        claims_.claim(command, context_.clock.now(), std::move(decided));
      };
  std::function<void()> on_timeout = [this, &attempt] {
    claims_.abandon(attempt);
  };
  co_return co_await wait_for_decision(std::move(begin), std::move(on_timeout),
                                       deadline);
}

awaitable<result<claim_decision>> ledger_service::fence(
    std::string region, ledger::fence_command command,
    monotonic_time deadline) {
  const std::string attempt = command.attempt;
  begin_function begin = [&](ledger::claim_table::decision_handler decided) {
    remote_fence it;
    it.region = region;
    it.params["command"] = ledger::to_json(command);
    it.params["reply_to"] = context_.self.peer_address;
    it.decided = std::move(decided);
    send_fence(it);
    remote_fences_[attempt] = std::move(it);
  };
  std::function<void()> on_timeout = [this, &attempt] {
    remote_fences_.erase(attempt);
  };
  co_return co_await wait_for_decision(std::move(begin), std::move(on_timeout),
                                       deadline);
}

void ledger_service::send_fence(remote_fence& it) {
  it.sent_at = context_.clock.now();
  const std::vector<const membership::node_record*> candidates =
      context_.nodes.live_in(it.region, it.sent_at);
  if (candidates.empty()) return;
  const membership::node_record* to =
      candidates[context_.random.below(candidates.size())];
  context_.links.send(to->last.node.peer_address, "ledger.fence", it.params);
}

void ledger_service::handle_fence(const json& params) {
  if (!host_) return;
  ledger::fence_command command =
      ledger::fence_from(member_of(params, "command"));
  const std::string reply_to = text_of(params, "reply_to");
  const std::string requested_attempt = command.attempt;
  // Each resend gets its own attempt id here, so that each is answered.
  command.attempt = make_attempt_id();
  claims_.fence(command, context_.clock.now(),
                [this, reply_to, requested_attempt](const claim_decision& it) {
                  claim_decision answer = it;
                  answer.attempt = requested_attempt;
                  context_.links.send(reply_to, "ledger.fenced",
                                      ledger::to_json(answer));
                });
}

void ledger_service::handle_fenced(const json& params) {
  const claim_decision decided = ledger::claim_decision_from(params);
  const auto it = remote_fences_.find(decided.attempt);
  if (it == remote_fences_.end()) return;
  const ledger::claim_table::decision_handler call =
      std::move(it->second.decided);
  remote_fences_.erase(it);
  call(decided);
}

void ledger_service::finish(const ledger::finish_command& command) {
  claims_.finish(command, context_.clock.now());
}

void ledger_service::update_voters() {
  std::vector<membership::node_info> gateways;
  for (const membership::node_record* it : context_.nodes.all()) {
    if (it->last.node.region == context_.self.region) {
      gateways.push_back(it->last.node);
    }
  }
  std::vector<std::string> all;
  for (const membership::node_info& it : gateways) all.push_back(it.name);
  host_->set_admitted_learners(std::move(all));
  std::vector<std::string> names;
  for (const membership::node_info& it :
       choose_ledger_voters(std::move(gateways))) {
    names.push_back(it.name);
  }
  host_->set_desired_voters(std::move(names));
}

void ledger_service::request_join() {
  const monotonic_time now = context_.clock.now();
  if (now < next_join_ || !host_->needs_join(now)) return;
  next_join_ = now + join_interval;
  const json id = consensus::to_json(host_->core().self());
  for (const membership::node_record* it :
       context_.nodes.live_in(context_.self.region, now)) {
    if (it->last.node.name == context_.self.name) continue;
    context_.links.send(it->last.node.peer_address, "ledger.join", id);
  }
}

void ledger_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (host_) {
    update_voters();
    host_->tick(now);
    request_join();
    claims_.tick(now);
  }
  for (auto& [attempt, it] : remote_fences_) {
    if (now >= it.sent_at + fence_interval) send_fence(it);
  }
}

}  // namespace trestlepost::node

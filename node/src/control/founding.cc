// Founding, recovery and joins of the configuration group, and the founding of
// ledgers, which control_service.h declares.
#include <chrono>
#include <utility>

#include "control_service.h"
#include "ledger_voters.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds join_interval{400};
// In election timeouts: a new leader founds ledgers only after this delay, when
// it has received the polls of all nodes.
constexpr int ledger_founding_delay = 4;

}  // namespace

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

}  // namespace trestlepost::node

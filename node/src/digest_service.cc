#include "digest_service.h"

#include <optional>
#include <set>
#include <utility>

#include "region_peers.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using membership::node_record;
using std::chrono::milliseconds;

// In heartbeat intervals: a relay that has not answered for this long is
// skipped.
constexpr int relay_timeout_heartbeats = 4;
// The second relay, usually a gateway, gets one heartbeat in this many:
// receiving and answering every heartbeat of a large region took most of a
// small VM's CPU. Three intervals are within the time after which a silent node
// is suspected.
constexpr std::uint64_t second_relay_period = 3;
// In heartbeat intervals: digests include the age of a node's last heartbeat
// once it is older than this.
constexpr int late_heartbeats = 3;
// Service loads of other regions go into every second digest; they arrive only
// every 300 ms.
constexpr std::uint64_t rounds_per_service_loads = 2;
// Other regions cannot request lost digests. They get this many full digests
// after each change, and another one at this interval.
constexpr int full_digests_after_change = 3;
constexpr milliseconds full_digest_interval{3000};
constexpr char digest_method[] = "node.digest";

}  // namespace

digest_service::digest_service(node_context& context)
    : context_(context), writer_(context.self, context.random.identifier()) {}

void digest_service::start() {
  context_.peers.add_notification(
      digest_method, [this](const json& params, const transport::rpc_context&) {
        handle_digest(params);
      });
  context_.peers.add_notification(
      "region.digest",
      [this](const json& params, const transport::rpc_context&) {
        if (!apply_digest(member_of(params, "digest"))) return;
        if (!flag_of(params, "passed_on"))
          forward_in_region("region.digest", params);
      });
}

milliseconds digest_service::interval() const {
  return heartbeat_interval(context_);
}

bool digest_service::apply_digest(const json& params) {
  result<membership::region_digest> in = membership::region_digest_from(params);
  if (!in) {
    log_event(log_level::warn, "digest-refused",
              {{"detail", in.error().message}, {"remedy", in.error().remedy}});
    return false;
  }
  if (in->relay == context_.self.name) return false;
  reader_.exclude_own(*in);
  const monotonic_time now = context_.clock.now();
  const membership::digest_outcome outcome =
      reader_.apply(*in, context_.self, context_.nodes, now);
  relay_selector_.digest_received(in->relay);
  if (outcome == membership::digest_outcome::stale) return false;
  if (outcome == membership::digest_outcome::gap) {
    log_event(log_level::debug, "digest-missed", {{"relay", in->relay}});
  }
  for (const auto& [endpoint, it] : in->reports) {
    context_.endpoints.report(endpoint, {it.running, it.waiting, now, 0});
  }
  return true;
}

void digest_service::handle_digest(const json& params) {
  if (apply_digest(params) && on_digest) on_digest();
}

std::vector<membership::relay_candidate> digest_service::relay_candidates()
    const {
  const monotonic_time now = context_.clock.now();
  std::vector<membership::relay_candidate> out;
  for (const auto& [name, address] : peers_in_region(context_)) {
    const node_record* it = context_.nodes.find(name);
    const bool leaving =
        it != nullptr && it->last.state == membership::node_states::draining;
    const auto entry = context_.known_nodes.find(name);
    const bool control = it != nullptr ? it->last.node.control
                                       : entry != context_.known_nodes.end() &&
                                             entry->second.control;
    const bool silent = it == nullptr || context_.nodes.state_of(*it, now) ==
                                             membership::peer_state::dead;
    out.push_back({name, leaving, control, silent});
  }
  return out;
}

milliseconds digest_service::relay_timeout() const {
  return relay_timeout_heartbeats * interval();
}

std::vector<std::string> digest_service::relays() const {
  return relay_selector_.choose(context_.self.region, relay_candidates(),
                                relay_timeout(), context_.clock.now());
}

void digest_service::send_to_relays(const membership::heartbeat& beat) {
  const monotonic_time now = context_.clock.now();
  const std::map<std::string, std::string> peer_addresses =
      peers_in_region(context_);
  const std::string& region = context_.self.region;
  const std::vector<membership::relay_candidate> candidates =
      relay_candidates();
  const milliseconds timeout = relay_timeout();
  std::vector<std::string> chosen =
      relay_selector_.choose(region, candidates, timeout, now);
  const bool to_second_relay = relay_heartbeats_++ % second_relay_period == 0;
  if (!to_second_relay && !chosen.empty()) chosen.resize(1);
  std::set<std::string> receivers(chosen.begin(), chosen.end());
  for (std::string& it :
       relay_selector_.missing_relays(region, candidates, timeout, now))
    receivers.insert(std::move(it));
  const std::shared_ptr<const membership::heartbeat> sent =
      std::make_shared<const membership::heartbeat>(beat);
  json params = membership::to_json(beat);
  for (const std::string& name : receivers) {
    params["ask"] = membership::to_json(reader_.request_for(name));
    reader_.record_sent(name, sent);
    relay_selector_.heartbeat_sent(name, now);
    context_.links.send(peer_addresses.at(name), "node.heartbeat", params);
  }
}

void digest_service::record_digest_request(
    const json& heartbeat, const membership::node_info& sender) {
  const json& request = member_of(heartbeat, "ask");
  if (!request.isObject()) return;
  requesters_[sender.name] = {sender.peer_address,
                              membership::digest_request_from(request),
                              context_.clock.now(), true};
}

digest_service::shared_content digest_service::collect_shared_content() const {
  shared_content out;
  const monotonic_time now = context_.clock.now();
  const std::string& region = context_.self.region;
  out.sums = membership::sum_of(context_.nodes, region, now);
  for (const node_record* it : context_.nodes.live_in(region, now)) {
    if (!context_.nodes.has_fresh_load(*it, now)) continue;
    out.reports.insert(it->last.reports.begin(), it->last.reports.end());
  }
  if (digest_round_ % rounds_per_service_loads != 0) return out;
  out.services = membership::other_region_services(context_.nodes, region, now);
  return out;
}

void digest_service::update_writer() {
  writer_.update(context_.nodes, late_heartbeats * interval(),
                 context_.clock.now());
}

membership::region_digest digest_service::make_digest(
    const membership::digest_request& request, const shared_content& content) {
  membership::region_digest out = writer_.make_digest(request, std::nullopt);
  out.services = content.services;
  out.sums = content.sums;
  out.reports = content.reports;
  return out;
}

transport::encoded_notification digest_service::encode_shared_digest(
    const membership::digest_request& request, const shared_content& content) {
  membership::region_digest out = make_digest(request, content);
  out.includes_receiver = true;
  return transport::encode_notification(digest_method,
                                        membership::to_json(out));
}

void digest_service::send_own_digest(const std::string& name,
                                     const requester& it,
                                     const shared_content& content) {
  const monotonic_time now = context_.clock.now();
  membership::region_digest out = make_digest(it.known, content);
  out.sums = membership::excluding_node(std::move(out.sums), context_.nodes,
                                        name, now);
  const node_record* receiver = context_.nodes.find(name);
  if (receiver != nullptr) {
    for (const auto& [endpoint, own] : receiver->last.reports) {
      out.reports.erase(endpoint);
    }
  }
  context_.links.send(it.address, digest_method, membership::to_json(out));
}

void digest_service::answer_digest_requests() {
  const monotonic_time oldest =
      context_.clock.now() - context_.nodes.options().suspect_after;
  std::erase_if(requesters_, [oldest](const auto& it) {
    return it.second.requested_at < oldest;
  });
  if (requesters_.empty()) return;
  ++digest_round_;
  update_writer();
  const shared_content content = collect_shared_content();
  // By base version. Most requesters have the version of the last round.
  std::map<std::uint64_t, transport::encoded_notification> encoded;
  for (auto& [name, it] : requesters_) {
    if (!std::exchange(it.waiting, false)) continue;
    if (!it.known.excludes_own) {
      send_own_digest(name, it, content);
      continue;
    }
    const auto [digest, is_new] =
        encoded.try_emplace(writer_.base_version_for(it.known));
    if (is_new) digest->second = encode_shared_digest(it.known, content);
    context_.links.send(it.address, digest->second);
  }
}

void digest_service::send_to_regions(
    const std::vector<std::string>& addresses) {
  const monotonic_time now = context_.clock.now();
  const std::string& region = context_.self.region;
  update_writer();
  const std::uint64_t version = writer_.version_of(region);
  if (version != last_sent_version_)
    full_digests_left_ = full_digests_after_change;
  if (full_digests_left_ == 0 && now >= next_full_digest_)
    full_digests_left_ = 1;
  last_sent_version_ = version;
  membership::digest_request known{writer_.incarnation(), version};
  if (full_digests_left_ > 0) {
    known = {};
    --full_digests_left_;
    next_full_digest_ = now + full_digest_interval;
  }
  membership::region_digest out = writer_.make_digest(known, region);
  out.services[region] = membership::service_means(context_.nodes, region, now);
  json params;
  params["digest"] = membership::to_json(out);
  for (const std::string& it : addresses) {
    context_.links.send(it, "region.digest", params);
  }
}

void digest_service::forward_in_region(const char* method, const json& params) {
  json forwarded = params;
  forwarded["passed_on"] = true;
  const std::map<std::string, std::string> peer_addresses =
      peers_in_region(context_);
  if (!uses_relays(context_)) {
    for (const auto& [name, address] : peer_addresses) {
      context_.links.send(address, method, forwarded);
    }
    return;
  }
  // This node is a relay: its requesters get the data in their next digest.
  if (!requesters_.empty()) return;
  for (const std::string& it : relays()) {
    context_.links.send(peer_addresses.at(it), method, forwarded);
  }
}

membership::endpoint_sums digest_service::other_gateway_sums() const {
  const monotonic_time now = context_.clock.now();
  membership::endpoint_sums direct_sums = membership::excluding_node(
      membership::sum_of(context_.nodes, context_.self.region, now),
      context_.nodes, context_.self.name, now);
  const membership::endpoint_sums* relay_sums =
      reader_.best_sums(now - context_.nodes.options().suspect_after);
  return relay_sums != nullptr && relay_sums->nodes > direct_sums.nodes
             ? *relay_sums
             : direct_sums;
}

}  // namespace trestlepost::node

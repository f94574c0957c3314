#include "heartbeat_service.h"

#include <optional>
#include <set>
#include <utility>

namespace trestlepost::node {
namespace {

using membership::node_record;
using std::chrono::milliseconds;

constexpr milliseconds summary_interval{300};
constexpr milliseconds ping_interval{1000};
constexpr double newest_weight = 0.3;

}  // namespace

heartbeat_service::heartbeat_service(
    node_context& context, std::function<membership::heartbeat()> beat)
    : context_(context), make_heartbeat_(std::move(beat)) {}

void heartbeat_service::start() {
  transport::rpc_dispatcher& peers = context_.peers;
  peers.add_notification(
      "node.heartbeat",
      [this](const json& params, const transport::rpc_context&) {
        handle_heartbeat(params);
      });
  peers.add_notification(
      "region.summary",
      [this](const json& params, const transport::rpc_context&) {
        handle_summary(params);
      });
  peers.add_notification(
      "node.ping", [this](const json& params, const transport::rpc_context&) {
        handle_ping(params);
      });
  peers.add_notification(
      "node.pong", [this](const json& params, const transport::rpc_context&) {
        handle_pong(params);
      });
}

void heartbeat_service::handle_heartbeat(const json& params) {
  const membership::heartbeat beat = membership::heartbeat_from(params);
  const monotonic_time now = context_.clock.now();
  context_.nodes.observe(beat, now);
  if (beat.node.region != context_.self.region) return;
  for (const auto& [endpoint, it] : beat.reports) {
    context_.endpoints.report(endpoint, {it.running, it.waiting, now, 0});
  }
  share_in_flight();
}

void heartbeat_service::share_in_flight() {
  std::map<std::string, std::uint32_t> others;
  for (const node_record* it :
       context_.nodes.live_in(context_.self.region, context_.clock.now())) {
    if (it->last.node.name == context_.self.name) continue;
    for (const auto& [endpoint, n] : it->last.endpoint_in_flight) {
      others[endpoint] += n;
    }
  }
  context_.endpoints.others_in_flight(std::move(others));
  if (on_region_heard) on_region_heard();
}

void heartbeat_service::handle_summary(const json& params) {
  const membership::region_summary summary =
      membership::region_summary_from(member_of(params, "summary"));
  if (summary.region == context_.self.region) return;
  context_.nodes.observe(summary, context_.clock.now());
  if (flag_of(params, "passed_on")) return;
  json onward = params;
  onward["passed_on"] = true;
  for (const auto& [name, address] : region_mates()) {
    context_.links.send(address, "region.summary", onward);
  }
}

void heartbeat_service::handle_ping(const json& params) {
  json answer;
  answer["at"] = member_of(params, "at");
  answer["region"] = context_.self.region;
  context_.links.send(text_of(params, "reply_to"), "node.pong", answer);
}

void heartbeat_service::handle_pong(const json& params) {
  const std::chrono::nanoseconds now = context_.clock.now().time_since_epoch();
  const std::chrono::nanoseconds passed =
      now - std::chrono::nanoseconds(number_of(params, "at"));
  const double ms = std::chrono::duration<double, std::milli>(passed).count();
  constexpr double longest_ms = 60'000;
  if (ms < 0 || ms > longest_ms) return;
  milliseconds& known = context_.round_trips[text_of(params, "region")];
  const double old = static_cast<double>(known.count());
  const double mixed =
      known.count() == 0 ? ms : old * (1 - newest_weight) + ms * newest_weight;
  known = milliseconds(static_cast<std::int64_t>(mixed));
}

std::map<std::string, std::string> heartbeat_service::region_mates() const {
  std::map<std::string, std::string> out;
  for (const auto& [name, it] : context_.book) {
    if (it.region == context_.self.region) out[name] = it.peer_address;
  }
  for (const node_record* it : context_.nodes.all()) {
    const membership::node_info& node = it->last.node;
    if (node.region == context_.self.region) out[node.name] = node.peer_address;
  }
  out.erase(context_.self.name);
  return out;
}

void heartbeat_service::send_heartbeats() {
  const membership::heartbeat beat = make_heartbeat_();
  context_.nodes.observe(beat, context_.clock.now());
  const json params = membership::to_json(beat);
  std::set<std::string> addresses;
  // Seeds that stand for control nodes are in other regions as well.
  if (!context_.options.control_nodes.empty()) {
    addresses.insert(context_.options.seeds.begin(),
                     context_.options.seeds.end());
  }
  for (const auto& [name, address] : region_mates()) addresses.insert(address);
  addresses.erase(context_.self.peer_address);
  for (const std::string& it : addresses) {
    context_.links.send(it, "node.heartbeat", params);
  }
}

std::vector<std::string> heartbeat_service::other_regions() const {
  std::set<std::string> out;
  for (const auto& [name, it] : context_.book) out.insert(it.region);
  for (const std::string& it : context_.nodes.regions()) out.insert(it);
  out.erase(context_.self.region);
  return {out.begin(), out.end()};
}

std::vector<std::string> heartbeat_service::relay_addresses(
    const std::string& region) const {
  std::vector<std::string> out;
  for (const node_record* it :
       context_.nodes.relays_of(region, context_.clock.now())) {
    out.push_back(it->last.node.peer_address);
  }
  if (!out.empty()) return out;
  // Nobody there is known to live: try those that the book names.
  for (const auto& [name, it] : context_.book) {
    const bool room = out.size() < membership::relays_per_region;
    if (it.region == region && room) out.push_back(it.peer_address);
  }
  return out;
}

void heartbeat_service::send_summaries() {
  const monotonic_time now = context_.clock.now();
  // Each relay of this region has one of each other region to tell.
  std::optional<std::size_t> place;
  const std::vector<const node_record*> relays =
      context_.nodes.relays_of(context_.self.region, now);
  for (std::size_t i = 0; i < relays.size(); ++i) {
    if (relays[i]->last.node.name == context_.self.name) place = i;
  }
  if (!place) return;
  membership::region_summary summary;
  summary.region = context_.self.region;
  summary.relay = context_.self.name;
  summary.sequence = ++sequence_;
  for (const node_record* it :
       context_.nodes.live_in(context_.self.region, now)) {
    membership::heartbeat brief = it->last;
    brief.endpoint_in_flight.clear();
    brief.reports.clear();
    brief.pending_tokens.clear();
    brief.cached_prefixes.clear();
    summary.nodes.push_back(std::move(brief));
  }
  json params;
  params["summary"] = membership::to_json(summary);
  params["passed_on"] = false;
  for (const std::string& region : other_regions()) {
    const std::vector<std::string> addresses = relay_addresses(region);
    if (addresses.empty()) continue;
    context_.links.send(addresses[*place % addresses.size()], "region.summary",
                        params);
  }
}

void heartbeat_service::send_pings() {
  json params;
  params["reply_to"] = context_.self.peer_address;
  params["at"] = as_number(static_cast<std::uint64_t>(
      std::chrono::nanoseconds(context_.clock.now().time_since_epoch())
          .count()));
  for (const std::string& region : other_regions()) {
    const std::vector<std::string> relays = relay_addresses(region);
    if (!relays.empty()) {
      context_.links.send(relays.front(), "node.ping", params);
    }
  }
}

void heartbeat_service::announce() {
  send_heartbeats();
  send_summaries();
}

void heartbeat_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (now >= next_beat_) {
    next_beat_ = now + context_.options.timing.heartbeat_interval;
    send_heartbeats();
    context_.nodes.forget_old(now);
  }
  if (now >= next_summary_) {
    next_summary_ = now + summary_interval;
    send_summaries();
  }
  if (now >= next_ping_) {
    next_ping_ = now + ping_interval;
    send_pings();
  }
}

}  // namespace trestlepost::node

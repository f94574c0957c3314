#include "heartbeat_service.h"

#include <optional>
#include <set>
#include <utility>

#include "region_peers.h"

namespace trestlepost::node {
namespace {

using membership::node_record;
using std::chrono::milliseconds;

constexpr milliseconds summary_interval{300};
constexpr milliseconds ping_interval{1000};
// Weight of a new sample in the moving average of a region's round trip.
constexpr double sample_weight = 0.3;

}  // namespace

heartbeat_service::heartbeat_service(
    node_context& context, std::function<membership::heartbeat()> beat)
    : context_(context), make_heartbeat_(std::move(beat)), digests_(context) {}

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
  digests_.on_digest = [this] { in_flight_changed_ = true; };
  digests_.start();
}

void heartbeat_service::handle_heartbeat(const json& params) {
  const membership::heartbeat beat = membership::heartbeat_from(params);
  const monotonic_time now = context_.clock.now();
  context_.nodes.observe(beat, now);
  if (beat.node.region != context_.self.region) return;
  for (const auto& [endpoint, it] : beat.reports) {
    context_.endpoints.report(endpoint, {it.running, it.waiting, now, 0});
  }
  digests_.record_digest_request(params, beat.node);
  heartbeat_received_ = true;
  // In a large region a relay receives too many heartbeats to sum them up on
  // each one, or in each tick.
  if (!uses_relays(context_)) report_in_flight();
}

void heartbeat_service::report_in_flight() {
  in_flight_changed_ = false;
  heartbeat_received_ = false;
  const membership::endpoint_sums others = digests_.other_gateway_sums();
  context_.endpoints.set_others_in_flight(others.in_flight);
  if (on_region_loads) on_region_loads(others);
}

void heartbeat_service::handle_summary(const json& params) {
  const membership::region_summary summary =
      membership::region_summary_from(member_of(params, "summary"));
  if (summary.region == context_.self.region) return;
  context_.nodes.observe(summary, context_.clock.now());
  if (!flag_of(params, "passed_on"))
    digests_.forward_in_region("region.summary", params);
}

void heartbeat_service::handle_ping(const json& params) {
  json answer;
  answer["at"] = member_of(params, "at");
  answer["region"] = context_.self.region;
  context_.links.send(text_of(params, "reply_to"), "node.pong", answer);
}

void heartbeat_service::handle_pong(const json& params) {
  const std::chrono::nanoseconds now = context_.clock.now().time_since_epoch();
  const std::chrono::nanoseconds elapsed =
      now - std::chrono::nanoseconds(number_of(params, "at"));
  const double ms = std::chrono::duration<double, std::milli>(elapsed).count();
  constexpr double max_round_trip_ms = 60'000;
  if (ms < 0 || ms > max_round_trip_ms) return;
  milliseconds& known = context_.round_trips[text_of(params, "region")];
  const double old = static_cast<double>(known.count());
  const double smoothed =
      known.count() == 0 ? ms : old * (1 - sample_weight) + ms * sample_weight;
  known = milliseconds(static_cast<std::int64_t>(smoothed));
}

void heartbeat_service::send_heartbeats() {
  const membership::heartbeat beat = make_heartbeat_();
  context_.nodes.observe(beat, context_.clock.now());
  if (uses_relays(context_)) {
    digests_.send_to_relays(beat);
    return;
  }
  const json params = membership::to_json(beat);
  std::set<std::string> addresses;
  // Without control nodes in the settings the seeds are the control nodes,
  // which may be in other regions; those of this region are added below.
  if (!context_.options.control_nodes.empty()) {
    addresses.insert(context_.options.seeds.begin(),
                     context_.options.seeds.end());
  }
  for (const auto& [name, address] : peers_in_region(context_)) {
    addresses.insert(address);
  }
  addresses.erase(context_.self.peer_address);
  for (const std::string& it : addresses) {
    context_.links.send(it, "node.heartbeat", params);
  }
}

void heartbeat_service::send_summaries() {
  const monotonic_time now = context_.clock.now();
  // Each relay of this region sends to one relay of each other region.
  std::optional<std::size_t> own_index;
  const std::vector<const node_record*> relays =
      context_.nodes.relays_of(context_.self.region, now);
  for (std::size_t i = 0; i < relays.size(); ++i) {
    if (relays[i]->last.node.name == context_.self.name) own_index = i;
  }
  if (!own_index) return;
  std::vector<std::string> addresses;
  for (const std::string& region : other_regions(context_)) {
    const std::vector<std::string> there = relay_addresses(context_, region);
    if (!there.empty()) addresses.push_back(there[*own_index % there.size()]);
  }
  if (uses_relays(context_)) {
    digests_.send_to_regions(addresses);
  } else {
    send_node_summary(addresses);
  }
}

void heartbeat_service::send_node_summary(
    const std::vector<std::string>& addresses) {
  membership::region_summary summary;
  summary.region = context_.self.region;
  summary.relay = context_.self.name;
  summary.sequence = ++sequence_;
  for (const node_record* it :
       context_.nodes.live_in(context_.self.region, context_.clock.now())) {
    membership::heartbeat reduced = it->last;
    reduced.endpoint_in_flight.clear();
    reduced.reports.clear();
    reduced.pending_tokens.clear();
    reduced.cached_prefixes.clear();
    reduced.limit_statements.clear();
    summary.nodes.push_back(std::move(reduced));
  }
  json params;
  params["summary"] = membership::to_json(summary);
  params["passed_on"] = false;
  for (const std::string& it : addresses) {
    context_.links.send(it, "region.summary", params);
  }
}

void heartbeat_service::send_pings() {
  json params;
  params["reply_to"] = context_.self.peer_address;
  params["at"] = as_number(static_cast<std::uint64_t>(
      std::chrono::nanoseconds(context_.clock.now().time_since_epoch())
          .count()));
  for (const std::string& region : other_regions(context_)) {
    const std::vector<std::string> relays = relay_addresses(context_, region);
    if (!relays.empty()) {
      context_.links.send(relays.front(), "node.ping", params);
    }
  }
}

void heartbeat_service::announce() {
  send_heartbeats();
  digests_.answer_digest_requests();
  send_summaries();
}

void heartbeat_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + digests_.interval();
    send_heartbeats();
    digests_.answer_digest_requests();
    in_flight_changed_ = in_flight_changed_ || heartbeat_received_;
    context_.nodes.remove_expired(now);
  }
  if (in_flight_changed_) report_in_flight();
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

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
constexpr double newest_weight = 0.3;

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
  digests_.on_sums = [this] { heard_region(); };
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
  digests_.note_ask(params, beat.node);
  heard_region();
}

void heartbeat_service::heard_region() {
  // In a large region a relay receives too many heartbeats to sum them up on
  // each one; tick() does it.
  unshared_ = true;
  if (!sends_by_relays(context_)) share_in_flight();
}

void heartbeat_service::share_in_flight() {
  unshared_ = false;
  const membership::endpoint_sums others = digests_.others();
  context_.endpoints.set_others_in_flight(others.in_flight);
  if (on_region_heard) on_region_heard(others);
}

void heartbeat_service::handle_summary(const json& params) {
  const membership::region_summary summary =
      membership::region_summary_from(member_of(params, "summary"));
  if (summary.region == context_.self.region) return;
  context_.nodes.observe(summary, context_.clock.now());
  if (!flag_of(params, "passed_on")) digests_.pass_on("region.summary", params);
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

void heartbeat_service::send_heartbeats() {
  const membership::heartbeat beat = make_heartbeat_();
  context_.nodes.observe(beat, context_.clock.now());
  const json params = membership::to_json(beat);
  if (sends_by_relays(context_)) {
    digests_.send_to_relays(params);
    return;
  }
  std::set<std::string> addresses;
  // Control nodes may be in other regions, so seeds are addressed too.
  if (!context_.options.control_nodes.empty()) {
    addresses.insert(context_.options.seeds.begin(),
                     context_.options.seeds.end());
  }
  for (const auto& [name, address] : region_mates(context_)) {
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
  std::optional<std::size_t> place;
  const std::vector<const node_record*> relays =
      context_.nodes.relays_of(context_.self.region, now);
  for (std::size_t i = 0; i < relays.size(); ++i) {
    if (relays[i]->last.node.name == context_.self.name) place = i;
  }
  if (!place) return;
  std::vector<std::string> addresses;
  for (const std::string& region : other_regions(context_)) {
    const std::vector<std::string> there = relay_addresses(context_, region);
    if (!there.empty()) addresses.push_back(there[*place % there.size()]);
  }
  if (sends_by_relays(context_)) {
    digests_.send_to_regions(addresses);
  } else {
    send_summary_of_nodes(addresses);
  }
}

void heartbeat_service::send_summary_of_nodes(
    const std::vector<std::string>& addresses) {
  membership::region_summary summary;
  summary.region = context_.self.region;
  summary.relay = context_.self.name;
  summary.sequence = ++sequence_;
  for (const node_record* it :
       context_.nodes.live_in(context_.self.region, context_.clock.now())) {
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
  digests_.answer_asks();
  send_summaries();
}

void heartbeat_service::tick() {
  const monotonic_time now = context_.clock.now();
  if (now >= next_beat_) {
    next_beat_ = now + digests_.interval();
    send_heartbeats();
    digests_.answer_asks();
    context_.nodes.remove_expired(now);
  }
  if (unshared_) share_in_flight();
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

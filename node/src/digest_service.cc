#include "digest_service.h"

#include <optional>
#include <utility>

#include "region_peers.h"
#include "trestlepost/base/log.h"

namespace trestlepost::node {
namespace {

using membership::node_record;
using std::chrono::milliseconds;

// In heartbeat intervals: a relay that has not answered for this long is
// skipped.
constexpr int unanswered_beats = 4;
// The second relay, usually a gateway, gets one heartbeat in this many:
// receiving and answering every heartbeat of a large region took most of a
// small VM's CPU. Three intervals are within the time after which a silent node
// is suspected.
constexpr std::uint64_t beats_to_second = 3;
// In heartbeat intervals: digests include the age of a node's last heartbeat
// once it is older than this.
constexpr int late_beats = 3;
// Service loads of other regions go into every second digest; they arrive only
// every 300 ms.
constexpr std::uint64_t rounds_per_services = 2;
// Other regions cannot request lost digests. They get this many full digests
// after each change, and another one at this interval.
constexpr int whole_after_change = 3;
constexpr milliseconds whole_interval{3000};

}  // namespace

digest_service::digest_service(node_context& context)
    : context_(context),
      writer_(context.self, (context.random.next() >> 1) | 1) {}

void digest_service::start() {
  context_.peers.add_notification(
      "node.digest", [this](const json& params, const transport::rpc_context&) {
        handle_digest(params);
      });
  context_.peers.add_notification(
      "region.digest",
      [this](const json& params, const transport::rpc_context&) {
        if (!take(member_of(params, "digest"))) return;
        if (!flag_of(params, "passed_on")) pass_on("region.digest", params);
      });
}

milliseconds digest_service::interval() const {
  return heartbeat_interval(context_);
}

bool digest_service::take(const json& params) {
  const result<membership::region_digest> in =
      membership::region_digest_from(params);
  if (!in) {
    log_event(log_level::warn, "digest-refused",
              {{"detail", in.error().message}, {"remedy", in.error().remedy}});
    return false;
  }
  if (in->relay == context_.self.name) return false;
  const monotonic_time now = context_.clock.now();
  const membership::digest_outcome outcome =
      reader_.apply(*in, context_.self, context_.nodes, now);
  choice_.digest_received(in->relay);
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
  if (take(params) && on_sums) on_sums();
}

std::vector<std::string> digest_service::relays() const {
  const monotonic_time now = context_.clock.now();
  const std::map<std::string, std::string> mates = region_mates(context_);
  std::vector<membership::relay_candidate> heard;
  std::vector<membership::relay_candidate> all;
  for (const auto& [name, address] : mates) {
    const node_record* it = context_.nodes.find(name);
    const bool leaving =
        it != nullptr && it->last.state == membership::node_states::draining;
    const auto entry = context_.book.find(name);
    const bool control =
        it != nullptr ? it->last.node.control
                      : entry != context_.book.end() && entry->second.control;
    all.push_back({name, leaving, control});
    const bool known = it != nullptr && context_.nodes.state_of(*it, now) !=
                                            membership::peer_state::dead;
    if (known) heard.push_back({name, leaving, control});
  }
  const bool enough = heard.size() >= membership::relays_per_region;
  return choice_.choose(context_.self.region, enough ? heard : all,
                        unanswered_beats * interval(), now);
}

void digest_service::send_to_relays(const json& heartbeat) {
  const monotonic_time now = context_.clock.now();
  const std::map<std::string, std::string> mates = region_mates(context_);
  std::vector<std::string> chosen = relays();
  const bool to_second = beats_++ % beats_to_second == 0;
  if (!to_second && !chosen.empty()) chosen.resize(1);
  for (const std::string& name : chosen) {
    json params = heartbeat;
    params["ask"] = membership::to_json(reader_.request_for(name));
    choice_.heartbeat_sent(name, now);
    context_.links.send(mates.at(name), "node.heartbeat", params);
  }
}

void digest_service::note_ask(const json& heartbeat,
                              const membership::node_info& sender) {
  const json& ask = member_of(heartbeat, "ask");
  if (!ask.isObject()) return;
  askers_[sender.name] = {sender.peer_address,
                          membership::digest_request_from(ask),
                          context_.clock.now(), true};
}

digest_service::shared_news digest_service::gather() const {
  shared_news out;
  const monotonic_time now = context_.clock.now();
  const std::string& region = context_.self.region;
  out.sums = membership::sum_of(context_.nodes, region, now);
  for (const node_record* it : context_.nodes.live_in(region, now)) {
    if (!context_.nodes.has_fresh_load(*it, now)) continue;
    out.reports.insert(it->last.reports.begin(), it->last.reports.end());
  }
  if (round_ % rounds_per_services != 0) return out;
  for (const std::string& it : other_regions(context_)) {
    out.services[it] = membership::service_means(context_.nodes, it, now);
  }
  return out;
}

void digest_service::update_writer() {
  writer_.update(context_.nodes, late_beats * interval(), context_.clock.now());
}

void digest_service::answer(const std::string& name, const asker& it,
                            const shared_news& news) {
  const monotonic_time now = context_.clock.now();
  membership::region_digest out = writer_.make_digest(it.has, std::nullopt);
  out.services = news.services;
  out.sums = membership::excluding_node(news.sums, context_.nodes, name, now);
  out.reports = news.reports;
  const node_record* receiver = context_.nodes.find(name);
  if (receiver != nullptr) {
    for (const auto& [endpoint, own] : receiver->last.reports) {
      out.reports.erase(endpoint);
    }
  }
  context_.links.send(it.address, "node.digest", membership::to_json(out));
}

void digest_service::answer_asks() {
  const monotonic_time oldest =
      context_.clock.now() - context_.nodes.options().suspect_after;
  std::erase_if(askers_, [oldest](const auto& it) {
    return it.second.asked_at < oldest;
  });
  if (askers_.empty()) return;
  ++round_;
  update_writer();
  const shared_news news = gather();
  for (auto& [name, it] : askers_) {
    if (it.waiting) answer(name, it, news);
    it.waiting = false;
  }
}

void digest_service::send_to_regions(
    const std::vector<std::string>& addresses) {
  const monotonic_time now = context_.clock.now();
  const std::string& region = context_.self.region;
  update_writer();
  const std::uint64_t version = writer_.version_of(region);
  if (version != told_version_) whole_left_ = whole_after_change;
  if (whole_left_ == 0 && now >= next_whole_) whole_left_ = 1;
  told_version_ = version;
  membership::digest_request has{writer_.incarnation(), version};
  if (whole_left_ > 0) {
    has = {};
    --whole_left_;
    next_whole_ = now + whole_interval;
  }
  membership::region_digest out = writer_.make_digest(has, region);
  out.services[region] = membership::service_means(context_.nodes, region, now);
  json params;
  params["digest"] = membership::to_json(out);
  for (const std::string& it : addresses) {
    context_.links.send(it, "region.digest", params);
  }
}

void digest_service::pass_on(const char* method, const json& params) {
  json onward = params;
  onward["passed_on"] = true;
  const std::map<std::string, std::string> mates = region_mates(context_);
  if (!sends_by_relays(context_)) {
    for (const auto& [name, address] : mates) {
      context_.links.send(address, method, onward);
    }
    return;
  }
  // Nodes that request digests get it with their next one.
  if (!askers_.empty()) return;
  for (const std::string& it : relays()) {
    context_.links.send(mates.at(it), method, onward);
  }
}

membership::endpoint_sums digest_service::others() const {
  const monotonic_time now = context_.clock.now();
  membership::endpoint_sums heard = membership::excluding_node(
      membership::sum_of(context_.nodes, context_.self.region, now),
      context_.nodes, context_.self.name, now);
  const membership::endpoint_sums* told =
      reader_.best_sums(now - context_.nodes.options().suspect_after);
  return told != nullptr && told->nodes > heard.nodes ? *told : heard;
}

}  // namespace trestlepost::node

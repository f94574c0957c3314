#include "trestlepost/membership/node_table.h"

#include <algorithm>
#include <utility>

#include "trestlepost/base/hash.h"
#include "trestlepost/membership/node_state.h"
#include "trestlepost/membership/region_digest.h"
#include "trestlepost/membership/relay_selector.h"

namespace trestlepost::membership {
namespace {

std::uint32_t uint32_of(const json& value, const char* key) {
  return static_cast<std::uint32_t>(number_of(value, key));
}

std::uint32_t load_of(const heartbeat& in) {
  std::uint32_t n = 0;
  for (const auto& [name, it] : in.services) n += it.in_flight + it.queued;
  return n;
}

// The two relays of a region report the loads of another region in turn. The
// loads are copied to the nodes of that region at most this often.
constexpr std::chrono::milliseconds min_services_interval{250};

}  // namespace

json to_json(const node_info& value) {
  json out;
  out["name"] = value.name;
  out["incarnation"] = as_number(value.incarnation);
  out["region"] = value.region;
  out["availability_zone"] = value.availability_zone;
  out["caller_address"] = value.caller_address;
  out["forward_address"] = value.forward_address;
  out["peer_address"] = value.peer_address;
  out["control"] = value.control;
  out["durable"] = value.durable;
  return out;
}

node_info node_info_from(const json& value) {
  node_info out;
  out.name = text_of(value, "name");
  out.incarnation = number_of(value, "incarnation");
  out.region = text_of(value, "region");
  out.availability_zone = text_of(value, "availability_zone");
  out.caller_address = text_of(value, "caller_address");
  out.forward_address = text_of(value, "forward_address");
  out.peer_address = text_of(value, "peer_address");
  out.control = flag_of(value, "control");
  out.durable = flag_of(value, "durable");
  return out;
}

json to_json(const service_loads& value) {
  json out(Json::objectValue);
  for (const auto& [name, it] : value) {
    json one;
    one["in_flight"] = it.in_flight;
    one["queued"] = it.queued;
    one["free_slots"] = it.free_slots;
    one["endpoints"] = it.endpoints;
    one["wait_ms"] = as_number(static_cast<std::uint64_t>(it.wait.count()));
    if (it.event_interval.count() > 0) {
      one["event_ms"] =
          as_number(static_cast<std::uint64_t>(it.event_interval.count()));
    }
    out[name] = std::move(one);
  }
  return out;
}

service_loads service_loads_from(const json& value) {
  service_loads out;
  if (!value.isObject()) return out;
  for (const std::string& it : value.getMemberNames()) {
    const json& one = value[it];
    out[it] = {uint32_of(one, "in_flight"),
               uint32_of(one, "queued"),
               uint32_of(one, "free_slots"),
               uint32_of(one, "endpoints"),
               std::chrono::milliseconds(number_of(one, "wait_ms")),
               std::chrono::milliseconds(number_of(one, "event_ms"))};
  }
  return out;
}

json to_json(const heartbeat& value) {
  json out;
  out["node"] = to_json(value.node);
  out["sequence"] = as_number(value.sequence);
  out["state"] = value.state;
  out["revision"] = as_number(value.revision);
  json& endpoints = out["endpoints"] = json(Json::objectValue);
  for (const auto& [name, n] : value.endpoint_in_flight) endpoints[name] = n;
  out["services"] = to_json(value.services);
  json& reports = out["reports"] = json(Json::objectValue);
  for (const auto& [name, it] : value.reports) {
    reports[name]["running"] = it.running;
    reports[name]["waiting"] = it.waiting;
  }
  json& pending = out["pending_tokens"] = json(Json::objectValue);
  for (const auto& [name, tokens] : value.pending_tokens) {
    json& list = pending[name] = json(Json::arrayValue);
    for (const std::uint32_t it : tokens) list.append(it);
  }
  if (!value.cached_prefixes.empty()) {
    out["cached"] = to_json(value.cached_prefixes);
  }
  if (!value.limit_statements.empty())
    out["limits"] = to_json(value.limit_statements);
  if (!value.unreachable_services.empty()) {
    out["unreachable"] = trestlepost::to_json(value.unreachable_services);
  }
  return out;
}

heartbeat heartbeat_from(const json& value) {
  heartbeat out;
  out.node = node_info_from(member_of(value, "node"));
  out.sequence = number_of(value, "sequence");
  out.state = text_of(value, "state");
  out.revision = number_of(value, "revision");
  const json& endpoints = member_of(value, "endpoints");
  if (endpoints.isObject()) {
    for (const std::string& it : endpoints.getMemberNames()) {
      out.endpoint_in_flight[it] = uint32_of(endpoints, it.c_str());
    }
  }
  out.services = service_loads_from(member_of(value, "services"));
  const json& reports = member_of(value, "reports");
  if (reports.isObject()) {
    for (const std::string& it : reports.getMemberNames()) {
      out.reports[it] = {uint32_of(reports[it], "running"),
                         uint32_of(reports[it], "waiting")};
    }
  }
  const json& pending = member_of(value, "pending_tokens");
  if (pending.isObject()) {
    for (const std::string& it : pending.getMemberNames()) {
      for (const json& n : pending[it]) {
        out.pending_tokens[it].push_back(n.isUInt() ? n.asUInt() : 0);
      }
    }
  }
  out.cached_prefixes = cached_prefixes_from(member_of(value, "cached"));
  out.unreachable_services = text_set_of(value, "unreachable");
  out.limit_statements = limit_statements_from(member_of(value, "limits"));
  return out;
}

json to_json(const region_summary& value) {
  json out;
  out["region"] = value.region;
  out["relay"] = value.relay;
  out["sequence"] = as_number(value.sequence);
  json nodes(Json::arrayValue);
  for (const heartbeat& it : value.nodes) nodes.append(to_json(it));
  out["nodes"] = std::move(nodes);
  return out;
}

region_summary region_summary_from(const json& value) {
  region_summary out;
  out.region = text_of(value, "region");
  out.relay = text_of(value, "relay");
  out.sequence = number_of(value, "sequence");
  for (const json& it : member_of(value, "nodes")) {
    out.nodes.push_back(heartbeat_from(it));
  }
  return out;
}

std::size_t rendezvous_rank(const std::string& key, const std::string& self,
                            const std::vector<const node_record*>& nodes) {
  const std::uint64_t own_score = rendezvous_score(key, self);
  const auto precedes = [&key, &self, own_score](const node_record* it) {
    const std::string& name = it->last.node.name;
    return name != self && rendezvous_score(key, name) > own_score;
  };
  return static_cast<std::size_t>(
      std::count_if(nodes.begin(), nodes.end(), precedes));
}

void node_table::observe(const heartbeat& in, monotonic_time now) {
  if (in.node.name.empty()) return;
  const auto known = nodes_.find(in.node.name);
  if (known != nodes_.end()) {
    const node_record& record = known->second;
    const bool same_incarnation =
        record.last.node.incarnation == in.node.incarnation;
    // A digest may deliver the state of a heartbeat before the heartbeat
    // itself.
    const bool known_by_digest =
        record.updated_by_digest && in.sequence == record.last.sequence;
    const bool is_newer = in.sequence > record.last.sequence || known_by_digest;
    if (same_incarnation && !is_newer) return;
  }
  nodes_[in.node.name] = {in, now, now, now, load_of(in), false};
}

bool node_table::observe_alive(const std::string& name,
                               std::uint64_t incarnation,
                               std::uint64_t sequence, std::uint64_t revision,
                               monotonic_time now) {
  const auto it = nodes_.find(name);
  if (it == nodes_.end()) return false;
  heartbeat& last = it->second.last;
  if (last.node.incarnation != incarnation) return false;
  if (sequence <= last.sequence) return true;
  last.sequence = sequence;
  last.revision = revision;
  it->second.last_contact_at = now;
  it->second.first_hand_at = now;
  return true;
}

void node_table::apply(const digest_row& in, monotonic_time contact_at) {
  const auto known = nodes_.find(in.node.name);
  const bool unknown = known == nodes_.end();
  if (unknown && !in.has_info) return;
  if (!unknown) {
    const node_record& record = known->second;
    // After a restart with a clock that was set back, a node's sequence numbers
    // start lower.
    const bool other_incarnation =
        in.has_info && in.node.incarnation != record.last.node.incarnation &&
        contact_at >= record.last_contact_at + options_.suspect_after;
    if (in.sequence <= record.last.sequence && !other_incarnation) return;
  }
  node_record& record = nodes_[in.node.name];
  if (in.has_info) record.last.node = in.node;
  record.last.state = in.state;
  record.last.sequence = in.sequence;
  record.last.revision = in.revision;
  record.last.unreachable_services = in.unreachable_services;
  record.load = in.load;
  record.updated_by_digest = true;
  record.last_contact_at = std::max(record.last_contact_at, contact_at);
}

void node_table::record_contact(const std::string& name,
                                monotonic_time contact_at, bool first_hand) {
  const auto it = nodes_.find(name);
  if (it == nodes_.end()) return;
  node_record& record = it->second;
  record.last_contact_at = std::max(record.last_contact_at, contact_at);
  if (!first_hand) return;
  record.first_hand_at =
      std::max(record.first_hand_at.value_or(contact_at), contact_at);
}

void node_table::set_region_services(const std::string& region,
                                     const service_loads& loads,
                                     bool first_hand, monotonic_time now) {
  const auto last = services_set_at_.find(region);
  const bool recent = last != services_set_at_.end() &&
                      now < last->second + min_services_interval;
  if (recent && !first_hand) return;
  services_set_at_[region] = now;
  if (first_hand) first_hand_services_at_[region] = now;
  for (auto& [name, it] : nodes_) {
    const bool is_ready_gateway = it.last.node.region == region &&
                                  it.last.state == node_states::ready &&
                                  !it.last.node.forward_address.empty();
    if (is_ready_gateway) it.last.services = loads;
  }
}

bool node_table::has_fresh_load(const node_record& record,
                                monotonic_time now) const {
  return record.load_received_at &&
         now < *record.load_received_at + options_.suspect_after;
}

bool node_table::has_first_hand_services(const std::string& region,
                                         monotonic_time now) const {
  const auto reported = first_hand_services_at_.find(region);
  if (reported != first_hand_services_at_.end() &&
      now < reported->second + options_.suspect_after) {
    return true;
  }
  const std::vector<const node_record*> nodes = live_in(region, now);
  return std::any_of(
      nodes.begin(), nodes.end(),
      [this, now](const node_record* it) { return has_fresh_load(*it, now); });
}

void node_table::observe(const region_summary& in, monotonic_time now) {
  for (const heartbeat& it : in.nodes) {
    if (it.node.region == in.region) observe(it, now);
  }
}

void node_table::remove_expired(monotonic_time now) {
  std::erase_if(nodes_, [this, now](const auto& it) {
    return it.second.last_contact_at + options_.remove_after < now;
  });
}

const node_record* node_table::find(const std::string& name) const {
  const auto it = nodes_.find(name);
  return it == nodes_.end() ? nullptr : &it->second;
}

peer_state node_table::state_of(const node_record& record,
                                monotonic_time now) const {
  if (now >= record.last_contact_at + options_.dead_after)
    return peer_state::dead;
  if (now >= record.last_contact_at + options_.suspect_after) {
    return peer_state::suspect;
  }
  return peer_state::live;
}

bool node_table::is_live(const std::string& name, monotonic_time now) const {
  const node_record* it = find(name);
  return it != nullptr && state_of(*it, now) == peer_state::live;
}

std::vector<const node_record*> node_table::all() const {
  std::vector<const node_record*> out;
  out.reserve(nodes_.size());
  for (const auto& [name, it] : nodes_) out.push_back(&it);
  return out;
}

std::vector<const node_record*> node_table::live_in(const std::string& region,
                                                    monotonic_time now) const {
  std::vector<const node_record*> out;
  for (const auto& [name, it] : nodes_) {
    if (it.last.node.region == region &&
        state_of(it, now) == peer_state::live) {
      out.push_back(&it);
    }
  }
  return out;
}

std::vector<const node_record*> node_table::forward_targets(
    const std::string& region, const std::string& service,
    const node_info& self, monotonic_time now) const {
  std::vector<const node_record*> out = live_in(region, now);
  std::erase_if(out, [&](const node_record* it) {
    const heartbeat& last = it->last;
    return last.state != node_states::ready ||
           last.node.forward_address.empty() || last.node.name == self.name ||
           last.unreachable_services.contains(service);
  });
  return out;
}

std::vector<const node_record*> node_table::other_gateways(
    const node_info& self, monotonic_time now) const {
  std::vector<const node_record*> out = possible_gateways(self, now);
  std::erase_if(out, [this, now](const node_record* it) {
    return state_of(*it, now) != peer_state::live;
  });
  return out;
}

std::vector<const node_record*> node_table::possible_gateways(
    const node_info& self, monotonic_time now) const {
  std::vector<const node_record*> out;
  for (const auto& [name, it] : nodes_) {
    const node_info& node = it.last.node;
    const bool gateway = node.region == self.region &&
                         !node.forward_address.empty() &&
                         node.name != self.name;
    if (gateway && state_of(it, now) != peer_state::dead) out.push_back(&it);
  }
  return out;
}

std::size_t node_table::gateway_count() const {
  return static_cast<std::size_t>(
      std::count_if(nodes_.begin(), nodes_.end(), [](const auto& it) {
        return !it.second.last.node.forward_address.empty();
      }));
}

std::vector<std::string> node_table::regions() const {
  std::vector<std::string> out;
  for (const auto& [name, it] : nodes_) out.push_back(it.last.node.region);
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

std::vector<const node_record*> node_table::relays_of(
    const std::string& region, monotonic_time now) const {
  std::vector<relay_candidate> candidates;
  for (const node_record* it : live_in(region, now)) {
    candidates.push_back({it->last.node.name, false, it->last.node.control});
  }
  std::vector<const node_record*> out;
  for (const std::string& it : rank_relays(region, std::move(candidates))) {
    out.push_back(find(it));
  }
  return out;
}

}  // namespace trestlepost::membership

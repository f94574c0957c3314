#include "trestlepost/membership/endpoint_sums.h"

#include <algorithm>

#include "trestlepost/membership/node_state.h"

namespace trestlepost::membership {
namespace {

/// `from - n`, or 0 if that is negative.
std::uint32_t saturating_subtract(std::uint32_t from, std::uint32_t n) {
  return from > n ? from - n : 0;
}

/// Adds the load `in` of one node and keeps the shortest wait. `first`: no
/// other node has reported the service yet.
void add_service(service_load& sum, const service_load& in, bool first) {
  sum.in_flight += in.in_flight;
  sum.queued += in.queued;
  sum.free_slots += in.free_slots;
  if (in.endpoints == 0) return;
  if (!first && sum.endpoints > 0 && sum.wait <= in.wait) return;
  sum.wait = in.wait;
  sum.event_interval = in.event_interval;
  sum.endpoints = in.endpoints;
}

std::map<std::string, std::vector<std::uint32_t>> pending_from(
    const json& value) {
  std::map<std::string, std::vector<std::uint32_t>> out;
  if (!value.isObject()) return out;
  for (const std::string& it : value.getMemberNames()) {
    for (const json& n : value[it]) {
      out[it].push_back(n.isUInt() ? n.asUInt() : 0);
    }
  }
  return out;
}

}  // namespace

void add(endpoint_sums& sums, const heartbeat& in) {
  ++sums.nodes;
  for (const auto& [endpoint, n] : in.endpoint_in_flight) {
    sums.in_flight[endpoint] += n;
  }
  for (const auto& [endpoint, tokens] : in.pending_tokens) {
    std::vector<std::uint32_t>& sum = sums.pending[endpoint];
    if (sum.size() < tokens.size()) sum.resize(tokens.size());
    for (std::size_t i = 0; i < tokens.size(); ++i) sum[i] += tokens[i];
  }
  sums.cached_prefixes.insert(sums.cached_prefixes.end(),
                              in.cached_prefixes.begin(),
                              in.cached_prefixes.end());
}

void subtract(endpoint_sums& sums, const heartbeat& in) {
  sums.nodes = saturating_subtract(sums.nodes, 1);
  for (const auto& [endpoint, n] : in.endpoint_in_flight) {
    const auto it = sums.in_flight.find(endpoint);
    if (it == sums.in_flight.end()) continue;
    it->second = saturating_subtract(it->second, n);
    if (it->second == 0) sums.in_flight.erase(it);
  }
  for (const auto& [endpoint, tokens] : in.pending_tokens) {
    const auto it = sums.pending.find(endpoint);
    if (it == sums.pending.end()) continue;
    std::vector<std::uint32_t>& sum = it->second;
    for (std::size_t i = 0; i < std::min(sum.size(), tokens.size()); ++i) {
      sum[i] = saturating_subtract(sum[i], tokens[i]);
    }
    while (!sum.empty() && sum.back() == 0) sum.pop_back();
    if (sum.empty()) sums.pending.erase(it);
  }
  for (const cached_prefix& it : in.cached_prefixes) {
    const auto at =
        std::find(sums.cached_prefixes.begin(), sums.cached_prefixes.end(), it);
    if (at != sums.cached_prefixes.end()) sums.cached_prefixes.erase(at);
  }
}

endpoint_sums sum_of(const node_table& table, const std::string& region,
                     monotonic_time now) {
  endpoint_sums out;
  for (const node_record* it : table.all()) {
    const bool here = it->last.node.region == region;
    if (!here || !table.has_fresh_load(*it, now)) continue;
    add(out, it->last);
    merge(out.limit_statements, it->last.limit_statements,
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - *it->load_received_at));
  }
  return out;
}

endpoint_sums excluding_node(endpoint_sums sums, const node_table& table,
                             const std::string& node, monotonic_time now) {
  const node_record* it = table.find(node);
  if (it != nullptr && table.has_fresh_load(*it, now)) {
    subtract(sums, it->last);
  }
  return sums;
}

service_loads service_means(const node_table& table, const std::string& region,
                            monotonic_time now) {
  service_loads out;
  std::uint32_t nodes = 0;
  for (const node_record* it : table.live_in(region, now)) {
    const bool is_ready_gateway = it->last.state == node_states::ready &&
                                  !it->last.node.forward_address.empty();
    if (!is_ready_gateway) continue;
    ++nodes;
    for (const auto& [name, load] : it->last.services) {
      const auto known = out.find(name);
      add_service(out[name], load, known == out.end());
    }
  }
  for (auto& [name, it] : out) {
    it.in_flight = (it.in_flight + nodes - 1) / nodes;
    it.queued = (it.queued + nodes - 1) / nodes;
    it.free_slots = (it.free_slots + nodes - 1) / nodes;
  }
  return out;
}

std::map<std::string, service_loads> other_region_services(
    const node_table& table, const std::string& own_region,
    monotonic_time now) {
  std::map<std::string, service_loads> out;
  for (const std::string& it : table.regions()) {
    if (it == own_region || !table.has_first_hand_services(it, now)) continue;
    out[it] = service_means(table, it, now);
  }
  return out;
}

json to_json(const endpoint_sums& value) {
  json out;
  out["m"] = value.nodes;
  json& in_flight = out["f"] = json(Json::objectValue);
  for (const auto& [name, n] : value.in_flight) {
    if (n > 0) in_flight[name] = n;
  }
  json& pending = out["p"] = json(Json::objectValue);
  for (const auto& [name, tokens] : value.pending) {
    const bool any = std::any_of(tokens.begin(), tokens.end(),
                                 [](std::uint32_t it) { return it > 0; });
    if (!any) continue;
    json& list = pending[name] = json(Json::arrayValue);
    for (const std::uint32_t it : tokens) list.append(it);
  }
  if (!value.cached_prefixes.empty()) {
    out["c"] = to_json(value.cached_prefixes);
  }
  if (!value.limit_statements.empty())
    out["l"] = to_json(value.limit_statements);
  return out;
}

endpoint_sums endpoint_sums_from(const json& value) {
  endpoint_sums out;
  out.nodes = static_cast<std::uint32_t>(number_of(value, "m"));
  const json& in_flight = member_of(value, "f");
  if (in_flight.isObject()) {
    for (const std::string& it : in_flight.getMemberNames()) {
      out.in_flight[it] =
          static_cast<std::uint32_t>(number_of(in_flight, it.c_str()));
    }
  }
  out.pending = pending_from(member_of(value, "p"));
  out.cached_prefixes = cached_prefixes_from(member_of(value, "c"));
  out.limit_statements = limit_statements_from(member_of(value, "l"));
  return out;
}

}  // namespace trestlepost::membership

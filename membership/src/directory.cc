#include "trestlepost/membership/directory.h"

#include <algorithm>
#include <tuple>

#include "trestlepost/membership/node_state.h"

namespace trestlepost::membership {
namespace {

struct ranked_entry {
  entry_view entry;
  int state_rank = 0;
  int distance = 0;
  std::uint32_t load = 0;

  auto key() const { return std::tie(state_rank, distance, load, entry.node); }
};

int distance_of(const node_info& node, const entry_query& query) {
  if (node.region != query.near_region) return 2;
  return node.availability_zone == query.near_zone ? 0 : 1;
}

bool allowed(const node_info& node, const entry_query& query) {
  const std::vector<std::string>& all = query.allowed_regions;
  return all.empty() ||
         std::find(all.begin(), all.end(), node.region) != all.end();
}

}  // namespace

std::vector<entry_view> rank_entries(const node_table& table,
                                     const entry_query& query,
                                     monotonic_time now) {
  std::vector<ranked_entry> ranked;
  for (const node_record* it : table.all()) {
    const heartbeat& last = it->last;
    const bool ready = last.state == node_states::ready;
    const bool isolated = last.state == node_states::isolated;
    if (!ready && !isolated) continue;
    if (table.state_of(*it, now) != peer_state::live) continue;
    if (last.node.caller_address.empty() || !allowed(last.node, query)) {
      continue;
    }
    ranked.push_back(
        {{last.node.name, last.node.caller_address, last.node.region,
          last.node.availability_zone, last.state},
         ready ? 0 : 1,
         distance_of(last.node, query),
         it->load});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const ranked_entry& a, const ranked_entry& b) {
              return a.key() < b.key();
            });
  std::vector<entry_view> out;
  out.reserve(ranked.size());
  for (ranked_entry& it : ranked) out.push_back(std::move(it.entry));
  return out;
}

namespace {

bool takes_callers(const heartbeat& in) {
  const bool serving =
      in.state == node_states::ready || in.state == node_states::isolated;
  return serving && !in.node.caller_address.empty();
}

entry_view view_of(const heartbeat& in) {
  return {in.node.name, in.node.caller_address, in.node.region,
          in.node.availability_zone, in.state};
}

/// Entries of the caller's region in one state of suspicion.
std::vector<entry_view> near_in_state(const node_table& table,
                                      const entry_query& query,
                                      peer_state wanted, monotonic_time now) {
  std::vector<entry_view> out;
  for (const node_record* it : table.all()) {
    const bool near = it->last.node.region == query.near_region;
    if (!near || !takes_callers(it->last)) continue;
    if (table.state_of(*it, now) == wanted) out.push_back(view_of(it->last));
  }
  return out;
}

bool knows_region(const node_table& table, const std::string& region) {
  const std::vector<const node_record*> all = table.all();
  return std::any_of(all.begin(), all.end(), [&region](const node_record* it) {
    return it->last.node.region == region &&
           !it->last.node.caller_address.empty();
  });
}

}  // namespace

std::vector<entry_view> entries_near(
    const node_table& table, const entry_query& query,
    const std::vector<std::string>& preferred_regions, monotonic_time now) {
  for (const peer_state it : {peer_state::live, peer_state::suspect}) {
    std::vector<entry_view> near = near_in_state(table, query, it, now);
    if (!near.empty()) return near;
  }
  if (!knows_region(table, query.near_region)) return {};
  entry_query elsewhere = query;
  elsewhere.allowed_regions = preferred_regions;
  std::vector<entry_view> out = rank_entries(table, elsewhere, now);
  if (!out.empty()) return out;
  elsewhere.allowed_regions.clear();
  return rank_entries(table, elsewhere, now);
}

}  // namespace trestlepost::membership

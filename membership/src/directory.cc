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

using entry_list = std::vector<entry_view>;

/// The entries of the caller's region, by what is known of them.
struct near_entries {
  entry_list heard;   // taking callers, and heard a moment ago
  entry_list silent;  // taking callers when last heard; not dead
  bool known = false;
  bool lost = false;  // one fell silent without saying that it stops
};

near_entries find_near(const node_table& table, const entry_query& query,
                       const directory_options& options, monotonic_time now) {
  near_entries out;
  const bool own = query.near_region == options.own_region;
  // Another region's nodes are heard through relays, seldom enough for the
  // longer limit.
  const std::chrono::milliseconds silent_after =
      own ? options.silent_after : table.options().suspect_after;
  for (const node_record* it : table.all()) {
    const bool near = it->last.node.region == query.near_region &&
                      !it->last.node.caller_address.empty();
    if (!near) continue;
    out.known = true;
    if (!takes_callers(it->last)) continue;
    if (now < it->heard_at + silent_after) {
      out.heard.push_back(view_of(it->last));
      continue;
    }
    out.lost = true;
    if (table.state_of(*it, now) != peer_state::dead) {
      out.silent.push_back(view_of(it->last));
    }
  }
  return out;
}

/// Entries of other regions, of the homes where there are any.
entry_list stand_ins(const node_table& table, const entry_query& query,
                     const home_binding& homes, bool lost, monotonic_time now) {
  entry_query elsewhere = query;
  elsewhere.allowed_regions = homes.regions;
  entry_list out = rank_entries(table, elsewhere, now);
  const bool beyond = !homes.every_route && (lost || homes.regions.empty());
  if (!out.empty() || !beyond) return out;
  elsewhere.allowed_regions.clear();
  return rank_entries(table, elsewhere, now);
}

}  // namespace

std::vector<entry_view> entries_near(const node_table& table,
                                     const entry_query& query,
                                     const home_binding& homes,
                                     const directory_options& options,
                                     monotonic_time now) {
  near_entries near = find_near(table, query, options, now);
  if (!near.heard.empty() || !near.known) return std::move(near.heard);
  entry_list out = stand_ins(table, query, homes, near.lost, now);
  std::erase_if(out, [&query](const entry_view& it) {
    return it.region == query.near_region;
  });
  // This node would hear them if it reached them; a node elsewhere may only
  // be cut off from a region that is well.
  const bool surely_gone =
      query.near_region == options.own_region && !out.empty();
  if (surely_gone) return out;
  out.insert(out.begin(), near.silent.begin(), near.silent.end());
  return out;
}

}  // namespace trestlepost::membership

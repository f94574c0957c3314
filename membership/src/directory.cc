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

bool is_allowed(const node_info& node, const entry_query& query) {
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
    if (last.node.caller_address.empty() || !is_allowed(last.node, query)) {
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

bool accepts_callers(const heartbeat& in) {
  const bool serving =
      in.state == node_states::ready || in.state == node_states::isolated;
  return serving && !in.node.caller_address.empty();
}

entry_view view_of(const heartbeat& in) {
  return {in.node.name, in.node.caller_address, in.node.region,
          in.node.availability_zone, in.state};
}

using entry_list = std::vector<entry_view>;

/// The entries of the caller's region, by last contact.
struct region_entries {
  entry_list recent;  // accept callers; recent contact
  entry_list silent;  // accepted callers at the last contact; not dead
  bool known = false;
  bool any_lost = false;  // one became silent without announcing a stop
};

region_entries collect_region_entries(const node_table& table,
                                      const entry_query& query,
                                      const directory_options& options,
                                      monotonic_time now) {
  region_entries out;
  const bool own = query.near_region == options.own_region;
  // Heartbeats of other regions come through relays and less often, so the
  // longer limit applies.
  const std::chrono::milliseconds silent_after =
      own ? options.silent_after : table.options().suspect_after;
  for (const node_record* it : table.all()) {
    const bool near = it->last.node.region == query.near_region &&
                      !it->last.node.caller_address.empty();
    if (!near) continue;
    out.known = true;
    if (!accepts_callers(it->last)) continue;
    if (now < it->last_contact_at + silent_after) {
      out.recent.push_back(view_of(it->last));
      continue;
    }
    out.any_lost = true;
    if (table.state_of(*it, now) != peer_state::dead) {
      out.silent.push_back(view_of(it->last));
    }
  }
  return out;
}

bool contains(const std::vector<std::string>& all, const std::string& it) {
  return std::find(all.begin(), all.end(), it) != all.end();
}

/// Removes entries of the caller's region and of regions that can't run the
/// host's requests.
void remove_unusable(entry_list& entries, const host_regions& host,
                     const std::string& near_region) {
  std::erase_if(entries, [&](const entry_view& it) {
    return it.region == near_region || !host.may_run_in(it.region);
  });
}

/// Live entries of other regions: those of home regions or, if there are none
/// and `any_region` is set, those of any region.
entry_list replacement_entries(const node_table& table,
                               const entry_query& query,
                               const host_regions& host, bool any_region,
                               monotonic_time now) {
  entry_query elsewhere = query;
  elsewhere.allowed_regions = host.homes;
  entry_list out = rank_entries(table, elsewhere, now);
  remove_unusable(out, host, query.near_region);
  if (!out.empty() || !any_region) return out;
  elsewhere.allowed_regions.clear();
  out = rank_entries(table, elsewhere, now);
  remove_unusable(out, host, query.near_region);
  return out;
}

/// Whether no node of another region is live: this node's region is then
/// partitioned from all others.
bool is_partitioned(const node_table& table, const directory_options& options,
                    monotonic_time now) {
  const std::vector<const node_record*> all = table.all();
  return std::none_of(all.begin(), all.end(), [&](const node_record* it) {
    return it->last.node.region != options.own_region &&
           table.state_of(*it, now) == peer_state::live;
  });
}

/// Entries of other regions in their last known state.
entry_list last_known_elsewhere(const node_table& table,
                                const entry_query& query,
                                const host_regions& host) {
  entry_list out;
  for (const node_record* it : table.all()) {
    if (accepts_callers(it->last)) out.push_back(view_of(it->last));
  }
  remove_unusable(out, host, query.near_region);
  return out;
}

/// Entries for a caller whose region can't run the host's requests.
entry_list usable_elsewhere(const node_table& table, const entry_query& query,
                            const host_regions& host,
                            const directory_options& options,
                            monotonic_time now) {
  entry_list out =
      replacement_entries(table, query, host, host.homes.empty(), now);
  const bool partitioned = out.empty() && is_partitioned(table, options, now);
  // Callers may reach regions that this node can't reach.
  return partitioned ? last_known_elsewhere(table, query, host) : out;
}

}  // namespace

bool host_regions::may_run_in(const std::string& region) const {
  return !evacuated.contains(region) &&
         (!all_routes_bound || contains(homes, region));
}

std::vector<entry_view> find_entries(const node_table& table,
                                     const entry_query& query,
                                     const host_regions& host,
                                     const directory_options& options,
                                     monotonic_time now) {
  if (!host.may_run_in(query.near_region)) {
    entry_list out = usable_elsewhere(table, query, host, options, now);
    if (!out.empty()) return out;
  }
  region_entries near = collect_region_entries(table, query, options, now);
  if (!near.recent.empty() || !near.known) return std::move(near.recent);
  const bool any_region =
      !host.all_routes_bound && (near.any_lost || host.homes.empty());
  entry_list out = replacement_entries(table, query, host, any_region, now);
  // If the entries of this node's region were live, this node would have
  // contact with them. Entries of another region may only be partitioned from
  // it.
  const bool is_certainly_lost =
      query.near_region == options.own_region && !out.empty();
  if (is_certainly_lost) return out;
  out.insert(out.begin(), near.silent.begin(), near.silent.end());
  return out;
}

}  // namespace trestlepost::membership

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

std::uint32_t load_of(const heartbeat& in) {
  std::uint32_t n = 0;
  for (const auto& [name, it] : in.services) n += it.in_flight + it.queued;
  return n;
}

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
         load_of(last)});
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

}  // namespace trestlepost::membership

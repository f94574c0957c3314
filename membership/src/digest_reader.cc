#include "trestlepost/membership/digest_reader.h"

namespace trestlepost::membership {
namespace {

/// Time of the relay's last contact with node `name`.
monotonic_time heard_at(const region_digest& in, const std::string& name,
                        monotonic_time now) {
  const auto late = in.late.find(name);
  return now - (late == in.late.end() ? in.fresh : late->second);
}

}  // namespace

bool digest_reader::begin(relay_view& view, const region_digest& in) {
  if (in.life == view.earlier_life) return false;
  if (in.life != view.life) {
    const std::uint64_t earlier = view.life;
    view = {};
    view.life = in.life;
    view.earlier_life = earlier;
  }
  if (in.sequence <= view.sequence) return false;
  view.sequence = in.sequence;
  return true;
}

digest_outcome digest_reader::take(const region_digest& in,
                                   const node_info& self, node_table& table,
                                   monotonic_time now) {
  relay_view& view = relays_[in.relay];
  if (!begin(view, in)) return digest_outcome::old;
  if (in.sums.nodes > 0) {
    view.sums = in.sums;
    view.summed_at = now;
  }
  if (in.since > view.version) return digest_outcome::missing;
  if (in.since == 0) view.names.clear();
  for (const digest_row& it : in.rows) {
    const std::string& name = it.node.name;
    if (name == self.name) continue;
    if (it.gone) {
      view.names.erase(name);
      continue;
    }
    view.names.insert(name);
    table.learn(it, heard_at(in, name, now));
  }
  view.version = in.version;
  for (const std::string& name : view.names) {
    table.refresh(name, heard_at(in, name, now), in.region != self.region);
  }
  for (const auto& [region, loads] : in.services) {
    table.learn_services(region, loads, now);
  }
  return digest_outcome::taken;
}

digest_ask digest_reader::ask_for(const std::string& relay) const {
  const auto it = relays_.find(relay);
  if (it == relays_.end()) return {};
  return {it->second.life, it->second.version};
}

const endpoint_sums* digest_reader::best_sums(monotonic_time oldest) const {
  const relay_view* best = nullptr;
  for (const auto& [name, it] : relays_) {
    if (it.sums.nodes == 0 || it.summed_at < oldest) continue;
    const bool better =
        best == nullptr || it.sums.nodes > best->sums.nodes ||
        (it.sums.nodes == best->sums.nodes && it.summed_at > best->summed_at);
    if (better) best = &it;
  }
  return best == nullptr ? nullptr : &best->sums;
}

}  // namespace trestlepost::membership

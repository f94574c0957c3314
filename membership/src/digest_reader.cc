#include "trestlepost/membership/digest_reader.h"

#include <utility>

namespace trestlepost::membership {
namespace {

/// Earliest possible time of the relay's last contact with node `name`.
monotonic_time contact_time(const region_digest& in, const std::string& name,
                            monotonic_time now) {
  const auto late = in.late.find(name);
  return now - (late == in.late.end() ? in.max_age : late->second);
}

}  // namespace

bool digest_reader::advance(relay_view& view, const region_digest& in) {
  if (in.incarnation == view.previous_incarnation) return false;
  if (in.incarnation != view.incarnation) {
    const std::uint64_t earlier = view.incarnation;
    view = {};
    view.incarnation = in.incarnation;
    view.previous_incarnation = earlier;
  }
  if (in.sequence <= view.sequence) return false;
  view.sequence = in.sequence;
  return true;
}

digest_outcome digest_reader::apply(const region_digest& in,
                                    const node_info& self, node_table& table,
                                    monotonic_time now) {
  relay_view& view = relays_[in.relay];
  if (!advance(view, in)) return digest_outcome::stale;
  if (in.sums.nodes > 0) {
    view.sums = in.sums;
    view.sums_received_at = now;
  }
  if (in.base_version > view.version) return digest_outcome::gap;
  if (in.base_version == 0) view.names.clear();
  for (const digest_row& it : in.rows) {
    const std::string& name = it.node.name;
    if (name == self.name) continue;
    if (it.dead) {
      view.names.erase(name);
      continue;
    }
    view.names.insert(name);
    table.apply(it, contact_time(in, name, now));
  }
  view.version = in.version;
  for (const std::string& name : view.names) {
    table.record_contact(name, contact_time(in, name, now),
                         in.region != self.region);
  }
  for (const auto& [region, loads] : in.services) {
    table.set_region_services(region, loads, in.region == region, now);
  }
  return digest_outcome::applied;
}

digest_request digest_reader::request_for(const std::string& relay) const {
  digest_request out;
  out.excludes_own = true;
  const auto it = relays_.find(relay);
  if (it == relays_.end()) return out;
  out.incarnation = it->second.incarnation;
  out.version = it->second.version;
  return out;
}

void digest_reader::record_sent(const std::string& relay,
                                std::shared_ptr<const heartbeat> sent) {
  sent_[relay] = std::move(sent);
}

void digest_reader::exclude_own(region_digest& in) const {
  const auto found = sent_.find(in.relay);
  if (!in.includes_receiver || found == sent_.end()) return;
  const heartbeat& own = *found->second;
  subtract(in.sums, own);
  for (const auto& [endpoint, it] : own.reports) in.reports.erase(endpoint);
  in.includes_receiver = false;
}

const endpoint_sums* digest_reader::best_sums(monotonic_time oldest) const {
  const relay_view* best = nullptr;
  for (const auto& [name, it] : relays_) {
    if (it.sums.nodes == 0 || it.sums_received_at < oldest) continue;
    const bool better = best == nullptr || it.sums.nodes > best->sums.nodes ||
                        (it.sums.nodes == best->sums.nodes &&
                         it.sums_received_at > best->sums_received_at);
    if (better) best = &it;
  }
  return best == nullptr ? nullptr : &best->sums;
}

}  // namespace trestlepost::membership

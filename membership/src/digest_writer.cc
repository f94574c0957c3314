#include "trestlepost/membership/digest_writer.h"

#include <algorithm>
#include <utility>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

// A load is sent again if it has changed by at least this many requests and has
// doubled or halved. Directories rank entries by it.
constexpr std::uint32_t min_load_change = 4;

/// Whether the change since the load `sent` is large enough to send it
/// again.
bool is_load_change_significant(std::uint32_t sent, std::uint32_t now) {
  const std::uint32_t low = std::min(sent, now);
  const std::uint32_t high = std::max(sent, now);
  return high - low >= min_load_change && high >= 2 * low;
}

}  // namespace

void digest_writer::update_entry(entry& it, const node_record& record,
                                 bool dead) {
  const heartbeat& last = record.last;
  const bool returned = it.row.dead && !dead;
  const bool other_node = it.version == 0 || it.row.node != last.node;
  const bool changed =
      it.row.dead != dead || it.row.state != last.state ||
      it.row.revision != last.revision ||
      it.row.unreachable_services != last.unreachable_services ||
      is_load_change_significant(it.row.load, record.load);
  if (!changed && !other_node) return;
  it.version = ++version_;
  if (other_node || returned) it.info_version = it.version;
  it.row.node = last.node;
  it.row.dead = dead;
  it.row.state = last.state;
  it.row.sequence = last.sequence;
  it.row.revision = last.revision;
  it.row.load = record.load;
  it.row.unreachable_services = last.unreachable_services;
}

void digest_writer::update(const node_table& table, milliseconds late_after,
                           monotonic_time now) {
  late_after_ = late_after;
  for (const node_record* record : table.all()) {
    if (!record->first_hand_at) continue;
    entry& it = entries_[record->last.node.name];
    it.age =
        std::chrono::duration_cast<milliseconds>(now - *record->first_hand_at);
    update_entry(it, *record, it.age >= table.options().dead_after);
  }
}

std::uint64_t digest_writer::version_of(const std::string& region) const {
  std::uint64_t out = 0;
  for (const auto& [name, it] : entries_) {
    if (it.row.node.region == region) out = std::max(out, it.version);
  }
  return out;
}

std::uint64_t digest_writer::base_version_for(
    const digest_request& request) const {
  const bool known =
      request.incarnation == incarnation_ && request.version <= version_;
  return known ? request.version : 0;
}

region_digest digest_writer::make_digest(
    const digest_request& request, const std::optional<std::string>& region) {
  region_digest out;
  out.relay = relay_;
  out.region = region_;
  out.incarnation = incarnation_;
  out.sequence = ++sequence_;
  out.version = region ? version_of(*region) : version_;
  const std::uint64_t base = base_version_for(request);
  out.base_version = base <= out.version ? base : 0;
  for (const auto& [name, it] : entries_) {
    if (region && it.row.node.region != *region) continue;
    if (it.version > out.base_version) {
      out.rows.push_back(it.row);
      digest_row& row = out.rows.back();
      row.has_info = it.info_version > out.base_version;
      if (!row.has_info) {
        row.node = {};
        row.node.name = name;
      }
    }
    if (it.row.dead) continue;
    if (it.age > late_after_) {
      out.late[name] = it.age;
    } else {
      out.max_age = std::max(out.max_age, it.age);
    }
  }
  return out;
}

}  // namespace trestlepost::membership

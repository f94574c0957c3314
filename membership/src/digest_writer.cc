#include "trestlepost/membership/digest_writer.h"

#include <algorithm>
#include <utility>

namespace trestlepost::membership {
namespace {

using std::chrono::milliseconds;

// A load is sent again if it has changed by at least this many requests and has
// doubled or halved. Directories rank entries by it.
constexpr std::uint32_t least_load_change = 4;

/// Whether the change from the load `told`, sent last, is large enough to be
/// sent.
bool tells_load(std::uint32_t told, std::uint32_t now) {
  const std::uint32_t low = std::min(told, now);
  const std::uint32_t high = std::max(told, now);
  return high - low >= least_load_change && high >= 2 * low;
}

}  // namespace

void digest_writer::update_one(entry& it, const node_record& record,
                               bool gone) {
  const heartbeat& last = record.last;
  const bool returned = it.row.gone && !gone;
  const bool other_node = it.version == 0 || it.row.node != last.node;
  const bool changed = it.row.gone != gone || it.row.state != last.state ||
                       it.row.revision != last.revision ||
                       tells_load(it.row.load, record.load);
  if (!changed && !other_node) return;
  it.version = ++version_;
  if (other_node || returned) it.info_version = it.version;
  it.row.node = last.node;
  it.row.gone = gone;
  it.row.state = last.state;
  it.row.sequence = last.sequence;
  it.row.revision = last.revision;
  it.row.load = record.load;
}

void digest_writer::update(const node_table& table, milliseconds late_after,
                           monotonic_time now) {
  late_after_ = late_after;
  for (const node_record* record : table.all()) {
    if (!record->told_at) continue;
    entry& it = entries_[record->last.node.name];
    it.age = std::chrono::duration_cast<milliseconds>(now - *record->told_at);
    update_one(it, *record, it.age >= table.options().dead_after);
  }
}

std::uint64_t digest_writer::version_of(const std::string& region) const {
  std::uint64_t out = 0;
  for (const auto& [name, it] : entries_) {
    if (it.row.node.region == region) out = std::max(out, it.version);
  }
  return out;
}

region_digest digest_writer::next(const digest_ask& ask,
                                  const std::optional<std::string>& region) {
  region_digest out;
  out.relay = relay_;
  out.region = region_;
  out.life = life_;
  out.sequence = ++sequence_;
  out.version = region ? version_of(*region) : version_;
  const bool known = ask.life == life_ && ask.version <= out.version;
  out.since = known ? ask.version : 0;
  for (const auto& [name, it] : entries_) {
    if (region && it.row.node.region != *region) continue;
    if (it.version > out.since) {
      out.rows.push_back(it.row);
      digest_row& row = out.rows.back();
      row.whole = it.info_version > out.since;
      if (!row.whole) {
        row.node = {};
        row.node.name = name;
      }
    }
    if (it.row.gone) continue;
    if (it.age > late_after_) {
      out.late[name] = it.age;
    } else {
      out.fresh = std::max(out.fresh, it.age);
    }
  }
  return out;
}

}  // namespace trestlepost::membership

// Snapshots of the configuration's state machine.
#include <algorithm>
#include <utility>

#include "trestlepost/base/compression.h"
#include "trestlepost/config/state_machine.h"

namespace trestlepost::config {
namespace {

// Maximum size of a decompressed snapshot in bytes. The largest planned
// deployment has about 100 MB of state; the limit keeps a corrupt length field
// from exhausting the memory.
constexpr std::size_t max_snapshot_bytes = 1024UL * 1024 * 1024;

tl::unexpected<error> unreadable_snapshot(const error& cause) {
  return fail(error_kind::corrupt,
              "the configuration's snapshot can't be read: " + cause.message,
              "empty the data folder: the node then returns as a learner and "
              "copies the state from the others");
}

}  // namespace

std::string config_state_machine::save() const {
  json out;
  out["store"] = store_.to_json();
  json known(Json::arrayValue);
  for (const std::string& id : result_order_) {
    const decided_change& it = results_by_id_.at(id);
    json one;
    one["id"] = id;
    one["digest"] = it.digest;
    one["outcome"] = config::to_json(it.outcome);
    known.append(std::move(one));
  }
  out["changes"] = std::move(known);
  json audit(Json::arrayValue);
  for (const audit_record& it : audit_) audit.append(config::to_json(it));
  out["audit"] = std::move(audit);
  json history(Json::arrayValue);
  for (const applied_change& it : history_) history.append(to_json(it));
  out["history"] = std::move(history);
  json ledgers(Json::arrayValue);
  for (const auto& [region, it] : ledgers_) ledgers.append(config::to_json(it));
  out["ledgers"] = std::move(ledgers);
  out["next_sequence"] = json(Json::UInt64(next_sequence_));
  return compress_printable(to_text(out));
}

result<void> config_state_machine::load(std::string_view data) {
  // Nothing is replaced until all of the snapshot is read.
  config_state_machine next(limits_);
  if (!data.empty()) {
    result<void> read = next.read_snapshot(data);
    if (!read) return read;
  }
  next.on_decided = std::move(on_decided);
  *this = std::move(next);
  return {};
}

result<void> config_state_machine::read_snapshot(std::string_view data) {
  const std::optional<std::string> text =
      decompress_printable(data, max_snapshot_bytes);
  const result<json> parsed = parse_json(text.value_or(""));
  if (!parsed) return unreadable_snapshot(parsed.error());
  result<object_store> store =
      object_store::from_json(member_of(*parsed, "store"));
  if (!store) return unreadable_snapshot(store.error());
  store_ = std::move(*store);
  for (const json& it : member_of(*parsed, "changes")) {
    const std::string id = text_of(it, "id");
    results_by_id_[id] = {text_of(it, "digest"),
                          change_result_from(member_of(it, "outcome"))};
    result_order_.push_back(id);
  }
  for (const json& it : member_of(*parsed, "audit")) {
    audit_.push_back(audit_record_from(it));
  }
  for (const json& it : member_of(*parsed, "history")) {
    result<applied_change> one = applied_change_from(it);
    if (!one) return unreadable_snapshot(one.error());
    history_.push_back(std::move(*one));
  }
  // The history must end at the revision of the store. Otherwise it is dropped,
  // and watchers that are behind are sent the whole configuration.
  const bool valid =
      !history_.empty() && history_.back().revision == store_.revision();
  if (!valid) history_.clear();
  for (const json& it : member_of(*parsed, "ledgers")) {
    const ledger_founding one = ledger_founding_from(it);
    ledgers_[one.region] = one;
  }
  next_sequence_ =
      std::max<std::uint64_t>(1, number_of(*parsed, "next_sequence"));
  return {};
}

}  // namespace trestlepost::config

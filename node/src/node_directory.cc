#include "node_directory.h"

namespace trestlepost::node {

void node_directory::record(const membership::node_info& info) {
  entry& it = entries_[info.name];
  if (it.info == info && it.version != 0) return;
  it.info = info;
  it.version = ++version_;
}

const membership::node_info* node_directory::find(
    const std::string& name) const {
  const auto it = entries_.find(name);
  return it == entries_.end() ? nullptr : &it->second.info;
}

void node_directory::add_changes(json& update, std::uint64_t version,
                                 const std::string& region) const {
  // A higher version was assigned by another leader; send all entries.
  const std::uint64_t known = version > version_ ? 0 : version;
  json& entries = update["book"] = json(Json::arrayValue);
  for (const auto& [name, it] : entries_) {
    const bool concerns = it.info.region == region || it.info.control;
    const bool relay_of_other = it.info.region != region && it.info.durable;
    if (it.version > known && (concerns || relay_of_other)) {
      entries.append(membership::to_json(it.info));
    }
  }
  update["book_version"] = as_number(version_);
}

}  // namespace trestlepost::node

#include "node_directory.h"

namespace trestlepost::node {

directory_position directory_position_from(const json& message) {
  return {number_of(message, "book_term"), number_of(message, "book_version")};
}

void add_position(json& message, const directory_position& position) {
  message["book_term"] = as_number(position.term);
  message["book_version"] = as_number(position.version);
}

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

std::uint64_t node_directory::first_missing(const directory_position& known,
                                            std::uint64_t term) const {
  // A position without a term comes from a node of an earlier version.
  const bool comparable = known.term == 0 || known.term == term;
  return comparable && known.version <= version_ ? known.version : 0;
}

void node_directory::add_changes(json& update, std::uint64_t from,
                                 const std::string& region) const {
  json& entries = update["book"] = json(Json::arrayValue);
  for (const auto& [name, it] : entries_) {
    const bool concerns = it.info.region == region || it.info.control;
    const bool relay_of_other = it.info.region != region && it.info.durable;
    if (it.version > from && (concerns || relay_of_other)) {
      entries.append(membership::to_json(it.info));
    }
  }
}

}  // namespace trestlepost::node

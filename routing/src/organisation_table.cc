#include "trestlepost/routing/organisation_table.h"

#include <algorithm>

namespace trestlepost::routing {

using config::organisation_list;
using config::organisation_ptr;

void organisation_table::add(const organisation_ptr& it) {
  for (const std::string& digest : it->key_digests) {
    by_key_.emplace(digest, it);
  }
  if (it->limit) ++limited_;
}

void organisation_table::remove(const organisation_ptr& it) {
  for (const std::string& digest : it->key_digests) by_key_.erase(digest);
  if (it->limit) --limited_;
}

void organisation_table::update(const organisation_list& next) {
  organisation_list added;
  // All removals precede all additions: a key may move from one organisation to
  // another.
  config::visit_changes(
      all_, next,
      [this, &added](const organisation_ptr& was, const organisation_ptr& is) {
        if (was) remove(was);
        if (is) added.push_back(is);
      });
  for (const organisation_ptr& it : added) add(it);
  all_ = next;
}

organisation_ptr organisation_table::find_by_key(
    std::string_view digest) const {
  const auto it = by_key_.find(digest);
  return it == by_key_.end() ? nullptr : it->second;
}

organisation_ptr organisation_table::find(std::string_view name) const {
  const auto it =
      std::lower_bound(all_.begin(), all_.end(), name,
                       [](const organisation_ptr& a, std::string_view b) {
                         return a->name < b;
                       });
  const bool found = it != all_.end() && (*it)->name == name;
  return found ? *it : nullptr;
}

}  // namespace trestlepost::routing

// Finds organisations by the digest of a key and by name.
#pragma once

#include <cstddef>
#include <string_view>
#include <unordered_map>

#include "trestlepost/config/organisation.h"

namespace trestlepost::routing {

class organisation_table {
 public:
  /// Replaces the list. The work grows with the number of organisations that
  /// changed; the others are only compared by address.
  void update(const config::organisation_list& next);

  /// Returns the organisation that owns the key, or null.
  config::organisation_ptr find_by_key(std::string_view digest) const;
  /// Returns the organisation, or null.
  config::organisation_ptr find(std::string_view name) const;

  /// Whether any organisation has a usage limit.
  bool has_limit() const { return limited_ > 0; }

 private:
  void add(const config::organisation_ptr& it);
  void remove(const config::organisation_ptr& it);

  config::organisation_list all_;  // sorted by name
  std::size_t limited_ = 0;        // organisations with a usage limit
  // The keys of the map point into the organisations that are its values.
  std::unordered_map<std::string_view, config::organisation_ptr> by_key_;
};

}  // namespace trestlepost::routing

// Whether the platform's list is read whole or zone by zone: each page is a
// call, and calls have a price.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace trestlepost::node {

/// What the last reading of the whole list found.
struct listing_size {
  std::size_t pages = 0;      // 0: not read yet
  std::size_t page_size = 0;  // entries of the largest page
  /// Entries in each zone of the own region.
  std::map<std::string, std::size_t> own_zones;
};

/// The zones to read one after the other; an empty name is the whole list.
std::vector<std::string> zones_to_read(const listing_size& last);

}  // namespace trestlepost::node

// Decides whether the platform's endpoint list is read in full or zone by zone,
// whichever takes fewer calls: each page is a call, and the platform limits
// their rate.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace trestlepost::node {

/// The size of the list at the last full read.
struct endpoint_list_size {
  std::size_t pages = 0;      // 0: not read yet
  std::size_t page_size = 0;  // entries of the largest page
  /// Number of entries by availability zone of the own region.
  std::map<std::string, std::size_t> own_zones;
};

/// The zones to read one after the other; an empty name stands for the full
/// list.
std::vector<std::string> zones_to_read(const endpoint_list_size& last);

}  // namespace trestlepost::node

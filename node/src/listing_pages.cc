#include "listing_pages.h"

#include <algorithm>
#include <cctype>

namespace trestlepost::node {
namespace {

/// Whether a name can be put into a URL query without escaping.
bool is_plain(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char it) {
           return std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.';
         });
}

}  // namespace

std::vector<std::string> zones_to_read(const listing_size& last) {
  std::vector<std::string> whole{""};
  if (last.pages < 2 || last.page_size == 0 || last.own_zones.empty()) {
    return whole;
  }
  std::size_t pages = 0;
  std::vector<std::string> zones;
  for (const auto& [zone, entries] : last.own_zones) {
    if (!is_plain(zone)) return whole;
    // An empty zone takes a call, too.
    pages += std::max<std::size_t>(
        1, (entries + last.page_size - 1) / last.page_size);
    zones.push_back(zone);
  }
  return pages < last.pages ? zones : whole;
}

}  // namespace trestlepost::node

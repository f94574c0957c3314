#include "endpoint_list_pages.h"

#include <algorithm>
#include <cctype>

namespace trestlepost::node {
namespace {

/// Whether a name can be put into a URL query without escaping.
bool needs_no_escaping(const std::string& name) {
  return !name.empty() &&
         std::all_of(name.begin(), name.end(), [](unsigned char it) {
           return std::isalnum(it) != 0 || it == '-' || it == '_' || it == '.';
         });
}

}  // namespace

std::vector<std::string> zones_to_read(const endpoint_list_size& last) {
  std::vector<std::string> full_list{""};
  if (last.pages < 2 || last.page_size == 0 || last.own_zones.empty()) {
    return full_list;
  }
  std::size_t pages = 0;
  std::vector<std::string> zones;
  for (const auto& [zone, entries] : last.own_zones) {
    if (!needs_no_escaping(zone)) return full_list;
    // An empty zone takes a call, too.
    pages += std::max<std::size_t>(
        1, (entries + last.page_size - 1) / last.page_size);
    zones.push_back(zone);
  }
  return pages < last.pages ? zones : full_list;
}

}  // namespace trestlepost::node

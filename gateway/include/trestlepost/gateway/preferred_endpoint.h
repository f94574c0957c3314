// Which endpoint all gateways prefer for a part of a prompt, without telling
// each other: the highest by rendezvous hash.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/base/hash.h"
#include "trestlepost/membership/cached_prefix.h"

namespace trestlepost::gateway {

/// The key under which gateways rank endpoints for a section.
std::string section_key(const membership::prompt_section& section);

/// The one of `all` that is preferred for `section`, or null when there are
/// none. `name_of` gives an endpoint's id.
template <typename T, typename NameOf>
const T* preferred_for(const std::vector<T>& all,
                       const membership::prompt_section& section,
                       const NameOf& name_of) {
  const std::string key = section_key(section);
  const T* best = nullptr;
  std::uint64_t best_score = 0;
  for (const T& it : all) {
    const std::uint64_t score = rendezvous_score(key, name_of(it));
    if (best != nullptr && score <= best_score) continue;
    best = &it;
    best_score = score;
  }
  return best;
}

}  // namespace trestlepost::gateway

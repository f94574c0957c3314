// Selects the endpoint that all gateways prefer for a section of a prompt,
// without communication, by rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/base/hash.h"
#include "trestlepost/membership/cached_prefix.h"

namespace trestlepost::gateway {

/// Returns the key by which gateways rank endpoints for a section.
std::string section_key(const membership::prompt_section& section);

/// Returns the element of `all` with the highest score for `section`, or null
/// if `all` is empty. `name_of` returns an endpoint's id.
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

// Beginnings of prompts that model endpoints keep, as gateways tell each other.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"

namespace trestlepost::membership {

/// A run of prompt tokens; prompts that begin alike share their first ones.
struct prompt_section {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const prompt_section&) const = default;
};

/// Shared sections, in order, that an endpoint was sent and so has cached.
struct cached_prefix {
  std::string endpoint;
  std::vector<prompt_section> sections;

  bool operator==(const cached_prefix&) const = default;
};

/// `["endpoint", id, tokens, id, tokens, ...]`.
json to_json(const cached_prefix& value);
/// What does not read as a section ends the prefix.
cached_prefix cached_prefix_from(const json& value);

/// A list of them.
json to_json(const std::vector<cached_prefix>& values);
std::vector<cached_prefix> cached_prefixes_from(const json& value);

}  // namespace trestlepost::membership

// Prompt prefixes that model endpoints have cached, and their JSON encoding in
// messages between gateways.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/base/json.h"

namespace trestlepost::membership {

/// A run of prompt tokens. Prompts with a common beginning share their first
/// sections.
struct prompt_section {
  std::uint64_t id = 0;
  std::uint32_t tokens = 0;

  bool operator==(const prompt_section&) const = default;
};

/// The shared sections of a prompt, in order, that an endpoint was sent and so
/// has cached.
struct cached_prefix {
  std::string endpoint;
  std::vector<prompt_section> sections;

  bool operator==(const cached_prefix&) const = default;
};

/// Encodes as `["endpoint", id, tokens, id, tokens, ...]`.
json to_json(const cached_prefix& value);
/// The prefix ends before the first section that can't be decoded.
cached_prefix cached_prefix_from(const json& value);

json to_json(const std::vector<cached_prefix>& values);
std::vector<cached_prefix> cached_prefixes_from(const json& value);

}  // namespace trestlepost::membership

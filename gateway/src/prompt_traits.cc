#include "trestlepost/gateway/prompt_traits.h"

#include <algorithm>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {
namespace {

using routing::trait_kind;

// 128 bits make accidental collisions practically impossible.
constexpr std::size_t fingerprint_bytes = 16;
constexpr std::size_t max_fingerprints_kept = 4096;
// Parts of one prompt that are considered. Callers may send any number.
constexpr std::size_t max_parts = 64;

/// Returns the number of parts that other requests may share.
std::size_t shared_parts(const routed_request& request) {
  const std::size_t parts = request.head.prompt.parts.size();
  return parts == 0 ? 0 : std::min(parts - 1, max_parts);
}

}  // namespace

const std::string& prompt_traits::fingerprint(const std::string& service,
                                              const std::string& organisation,
                                              std::uint64_t part) {
  // Lengths precede the names, so that they can't be confused.
  const std::string text = "prompt-part " + std::to_string(service.size()) +
                           ':' + service + std::to_string(organisation.size()) +
                           ':' + organisation + std::to_string(part);
  const auto known = fingerprints_.find(text);
  if (known != fingerprints_.end()) return known->second;
  if (fingerprints_.size() >= max_fingerprints_kept) fingerprints_.clear();
  const sha256_digest out = hmac_sha256(secret_, text);
  return fingerprints_[text] = to_hex(out.data(), fingerprint_bytes);
}

std::vector<prompt_trait> prompt_traits::of(const routed_request& request) {
  std::vector<prompt_trait> out;
  const std::string& service = request.service;
  const auto add = [&](trait_kind kind, const std::string& organisation,
                       std::uint64_t part) {
    out.push_back({{kind, fingerprint(service, organisation, part)},
                   history_.last(service, organisation, part)});
  };
  const std::size_t n = shared_parts(request);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint64_t part = request.head.prompt.parts[i].id;
    if (request.organisation)
      add(trait_kind::organisation_part, request.organisation->name, part);
    add(trait_kind::part, "", part);
  }
  return out;
}

void prompt_traits::record_begin(const routed_request& request,
                                 monotonic_time at) {
  const std::size_t n = shared_parts(request);
  for (std::size_t i = 0; i < n; ++i) {
    const std::uint64_t part = request.head.prompt.parts[i].id;
    if (request.organisation)
      history_.record(request.service, request.organisation->name, part, at);
    history_.record(request.service, "", part, at);
  }
}

}  // namespace trestlepost::gateway

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

/// Calls `visit` with the kind, the organisation and the part of each trait
/// that other requests may share.
template <typename F>
void for_each_trait(const routed_request& request, F visit) {
  static const std::string any_organisation;
  const std::vector<surface::prompt_part>& parts = request.head.prompt.parts;
  const std::size_t n =
      parts.empty() ? 0 : std::min(parts.size() - 1, max_parts);
  for (std::size_t i = 0; i < n; ++i) {
    if (request.organisation) {
      visit(trait_kind::organisation_part, request.organisation->name,
            parts[i].id);
    }
    visit(trait_kind::part, any_organisation, parts[i].id);
  }
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
  for_each_trait(request, [&](trait_kind kind, const std::string& organisation,
                              std::uint64_t part) {
    out.push_back({{kind, fingerprint(request.service, organisation, part)},
                   history_.last(request.service, organisation, part)});
  });
  return out;
}

void prompt_traits::record_begin(const routed_request& request,
                                 monotonic_time at) {
  for_each_trait(request,
                 [&](trait_kind /*kind*/, const std::string& organisation,
                     std::uint64_t part) {
                   history_.record(request.service, organisation, part, at);
                 });
}

}  // namespace trestlepost::gateway

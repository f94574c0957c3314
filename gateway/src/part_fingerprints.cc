#include "trestlepost/gateway/part_fingerprints.h"

#include <algorithm>

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {
namespace {

using routing::run_trait;
using routing::trait_kind;

// 128 bits make accidental collisions practically impossible.
constexpr std::size_t fingerprint_bytes = 16;
constexpr std::size_t max_known = 4096;
// Parts of one prompt that are considered. Callers may send any number.
constexpr std::size_t max_parts = 64;

}  // namespace

const std::string& part_fingerprints::fingerprint(
    const std::string& service, const std::string& organisation,
    std::uint64_t part, const std::string& secret) {
  // Lengths precede the names, so that they can't be confused.
  const std::string text = "prompt-part " + std::to_string(service.size()) +
                           ':' + service +
                           std::to_string(organisation.size()) + ':' +
                           organisation + std::to_string(part);
  const auto known = known_.find(text);
  if (known != known_.end()) return known->second;
  if (known_.size() >= max_known) known_.clear();
  const sha256_digest out = hmac_sha256(secret, text);
  return known_[text] = to_hex(out.data(), fingerprint_bytes);
}

std::vector<run_trait> part_fingerprints::of(const routed_request& request,
                                             const std::string& secret) {
  std::vector<run_trait> out;
  const std::vector<surface::prompt_part>& parts = request.head.prompt.parts;
  if (parts.empty()) return out;
  const std::size_t shared = std::min(parts.size() - 1, max_parts);
  for (std::size_t i = 0; i < shared; ++i) {
    const std::uint64_t id = parts[i].id;
    if (request.organisation) {
      out.push_back(
          {trait_kind::organisation_part,
           fingerprint(request.service, request.organisation->name, id,
                       secret)});
    }
    out.push_back(
        {trait_kind::part, fingerprint(request.service, "", id, secret)});
  }
  return out;
}

}  // namespace trestlepost::gateway

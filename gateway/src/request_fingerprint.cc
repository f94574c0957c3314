// Keyed fingerprints of requests.
#include "trestlepost/gateway/request_fingerprint.h"

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {
namespace {

// 128 bits make accidental collisions practically impossible.
constexpr std::size_t fingerprint_bytes = 16;

/// Appends `text` with a length prefix, so that adjacent fields can't be
/// confused.
void append(std::string& out, std::string_view text) {
  out += std::to_string(text.size());
  out += ':';
  out += text;
}

}  // namespace

std::string fingerprint_of(const request_identity& request,
                           std::string_view secret) {
  std::string text = "request-fingerprint ";
  append(text, request.caller);
  append(text, request.method);
  append(text, request.host);
  append(text, request.target);
  append(text, sha256_hex(request.body));
  const sha256_digest out = hmac_sha256(secret, text);
  return to_hex(out.data(), fingerprint_bytes);
}

}  // namespace trestlepost::gateway

// Fingerprints that identify a request when it is sent again, under another
// request id or through another gateway.
#pragma once

#include <string>
#include <string_view>

namespace trestlepost::gateway {

/// The parts of a request that identify it. Headers that differ between a
/// caller's retries (ids, deadlines, the last event) are excluded.
struct request_identity {
  /// The caller's name, or the credentials of the request.
  std::string_view caller;
  std::string_view method;
  std::string_view host;
  std::string_view target;  // path and query
  std::string_view body;
};

/// Returns a digest of `request` in hexadecimal, keyed with the peers' secret.
/// Without the secret, a fingerprint neither reveals the content of the request
/// nor confirms a guess of it.
std::string fingerprint_of(const request_identity& request,
                           std::string_view secret);

}  // namespace trestlepost::gateway

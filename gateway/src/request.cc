// Digest of a call, for the detection of reused idempotency keys.
#include "trestlepost/gateway/request.h"

#include "trestlepost/base/hash.h"

namespace trestlepost::gateway {

std::string request_digest(const incoming_request& request) {
  return sha256_hex(
      request.head.method + " " + request.head.target + "\n" +
      std::string(request.head.passthrough_header("Content-Type")) + "\n" +
      std::string(transport::view_of(request.body)));
}

}  // namespace trestlepost::gateway

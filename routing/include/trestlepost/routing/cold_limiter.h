// Limits the request rate to cold endpoints. All gateways of a region together
// stay below the limit of an endpoint without coordination.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

struct cold_limit_options {
  /// Share of a cold endpoint's rate limit that is used. The rest allows for
  /// gateways that briefly disagree on which of them may send.
  double used_share = 0.7;
};

/// Rate limit for requests to cold endpoints. The two gateways of a region with
/// the highest rendezvous hash for an endpoint may send to it, each up to half
/// of the used share of its limit.
class cold_limiter {
 public:
  static constexpr std::size_t senders_per_endpoint = 2;

  explicit cold_limiter(cold_limit_options options = {}) : options_(options) {}

  /// Returns whether a request may be sent to cold `endpoint`, which accepts
  /// `per_second` requests from all gateways together (0: no limit). Records
  /// nothing; call `record_sent` once the request was sent.
  bool may_send(const std::string& endpoint, double per_second,
                monotonic_time now) const;

  /// Records that a request was sent to `endpoint`.
  void record_sent(const std::string& endpoint, monotonic_time now);

  /// Removes endpoints whose last request was sent before `before`.
  void remove_before(monotonic_time before);

 private:
  cold_limit_options options_;
  std::map<std::string, monotonic_time> last_sent_;
};

}  // namespace trestlepost::routing

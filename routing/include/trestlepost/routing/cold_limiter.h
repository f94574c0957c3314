// Keeps the requests that cold endpoints get below what they bear, over all
// gateways of a region together and without asking any of them.
#pragma once

#include <chrono>
#include <map>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

struct cold_limit_options {
  /// The share of the rate that a cold endpoint bears which is used. The rest
  /// covers gateways that differ for a moment on who may send.
  double used_share = 0.7;
};

/// Two gateways of a region, the highest by rendezvous hash for the endpoint,
/// may send to a cold endpoint, each half of what it bears.
class cold_limiter {
 public:
  static constexpr std::size_t senders_per_endpoint = 2;

  explicit cold_limiter(cold_limit_options options = {}) : options_(options) {}

  /// Whether a request may go to cold `endpoint`, which bears `per_second`
  /// requests from all gateways. Nothing is taken yet.
  bool may_send(const std::string& endpoint, double per_second,
                monotonic_time now) const;

  /// A request went to it.
  void sent(const std::string& endpoint, monotonic_time now);

  /// Forgets what was sent before `before`.
  void forget(monotonic_time before);

 private:
  cold_limit_options options_;
  std::map<std::string, monotonic_time> last_sent_;
};

}  // namespace trestlepost::routing

// Limits how many requests endpoints reject. Some endpoints fail if they have
// to reject more than a stated number of requests in a second.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Bounds the rejections per second that this gateway may cause at an endpoint:
/// requests whose outcome is open count as rejected. For each endpoint, only as
/// many gateways send as it may reject requests, those with the highest
/// rendezvous hash, so that all gateways together stay within its limit without
/// coordination.
class rejection_limiter {
 public:
  /// Records what an answer of `service` stated: the rejections per second that
  /// one endpoint bears, or nothing if there is no limit.
  void record_limit(const std::string& service, std::optional<unsigned> limit,
                    monotonic_time now);
  /// Records a request that was sent to `endpoint`, and its outcome.
  void record_sent(const std::string& endpoint);
  void record_outcome(const std::string& endpoint, bool rejected,
                      monotonic_time now);

  /// Returns the limit of the endpoints of `service`, if there is one.
  std::optional<unsigned> limit_of(const std::string& service,
                                   monotonic_time now) const;
  /// Returns whether another request may be sent to `endpoint`, which bears
  /// `limit` rejections per second. This gateway has the rank `rank`, from 0,
  /// among the `gateways` that may send to it.
  bool may_send(const std::string& endpoint, unsigned limit, std::size_t rank,
                std::size_t gateways, monotonic_time now) const;

  /// Forgets limits and rejections that no longer count.
  void remove_expired(monotonic_time now);

 private:
  struct stated_limit {
    unsigned per_second = 0;
    monotonic_time at;
  };
  struct sends {
    std::size_t open = 0;
    std::deque<monotonic_time> rejected_at;
  };

  std::map<std::string, stated_limit> limits_;  // by service
  std::map<std::string, sends> sends_;          // by endpoint
};

}  // namespace trestlepost::routing

// Tells the loss of several endpoints at once, which no single request causes,
// from endpoints that a request has crashed.
#pragma once

#include <deque>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::routing {

/// Keeps the endpoints that refused connections after runs there were
/// interrupted, for a short time.
class refusal_correlation {
 public:
  /// `requests` are the fingerprints of the interrupted runs.
  void record(const std::string& service, const std::string& endpoint,
              std::set<std::string> requests, monotonic_time now);

  /// Returns whether several endpoints of `service` refused connections just
  /// now, and no request ran at all of them.
  bool is_common_loss(const std::string& service, monotonic_time now) const;

  void remove_expired(monotonic_time now);

 private:
  struct refusal {
    std::string service;
    std::string endpoint;
    std::set<std::string> requests;
    monotonic_time at;
  };
  std::deque<refusal> refusals_;  // oldest first
};

}  // namespace trestlepost::routing

// Notices endpoints that accept requests and answer none, while the requests
// still wait.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/endpoint_tracker.h"

namespace trestlepost::gateway {

/// The requests that wait for the first part of an answer. Each is reported to
/// the tracker once, when an answer is overdue.
class unanswered_requests {
 public:
  /// Time at which the answer is overdue, and a number.
  using key = std::pair<monotonic_time, std::uint64_t>;

  explicit unanswered_requests(membership::endpoint_tracker& endpoints)
      : endpoints_(endpoints) {}

  /// Returns the key for `end`.
  key begin(const std::string& endpoint, monotonic_time sent_at,
            monotonic_time overdue_at);
  /// The request was answered, or does not wait any more.
  void end(const key& request, bool answered, monotonic_time now);
  void tick(monotonic_time now);

 private:
  struct waiting_request {
    std::string endpoint;
    monotonic_time sent_at;
  };

  membership::endpoint_tracker& endpoints_;
  std::map<key, waiting_request> waiting_;
  std::uint64_t last_number_ = 0;
};

}  // namespace trestlepost::gateway

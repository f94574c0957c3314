// Tells a partition from all endpoints of a service from failures of single
// endpoints.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "trestlepost/base/clock.h"

namespace trestlepost::membership {

/// Tracks which endpoints could not be reached since an endpoint of the same
/// service was reached last.
class endpoint_reachability {
 public:
  /// An endpoint answered.
  void record_reached(const std::string& service, monotonic_time now);
  /// The endpoint did not accept a connection, or one failed before the answer.
  void record_unreached(const std::string& service, const std::string& endpoint,
                        monotonic_time now);
  /// The endpoint has not answered a request that was sent at `sent_at`. This
  /// counts as unreached unless another one of the service has answered since.
  void record_unanswered(const std::string& service,
                         const std::string& endpoint, monotonic_time sent_at,
                         monotonic_time now);
  /// Forgets endpoints and services that are not in `names` and `services`.
  void retain(const std::set<std::string>& names,
              const std::set<std::string>& services);

  /// Returns the services with endpoints that could not be reached.
  std::set<std::string> failing_services() const;
  bool has_failures(const std::string& service) const {
    return failures_.contains(service);
  }
  /// Returns since when the endpoints of `service`, `endpoints` in number, have
  /// been unreachable, or nothing if one of them may be reachable.
  std::optional<monotonic_time> unreachable_since(const std::string& service,
                                                  std::size_t endpoints) const;

 private:
  struct failures {
    monotonic_time first_at;
    std::set<std::string> endpoints;
  };
  // By service.
  std::map<std::string, failures> failures_;
  std::map<std::string, monotonic_time> reached_at_;
};

}  // namespace trestlepost::membership

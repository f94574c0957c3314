// The requests per second that endpoints of the local region state as their
// limit for all gateways together.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/gateway/context.h"
#include "trestlepost/routing/request_limiter.h"
#include "trestlepost/routing/urgency_share.h"
#include "trestlepost/surface/endpoint_codec.h"

namespace trestlepost::gateway {

/// Applies the limits to this gateway, and schedules the return of callers that
/// were refused because of them.
class endpoint_limits {
 public:
  explicit endpoint_limits(gateway_context& context) : context_(context) {}

  void record_answer(const std::string& endpoint,
                     const surface::endpoint_answer& answer);
  /// Records what endpoints stated to the other gateways of the region.
  void record_reports(const membership::limit_statements& reports);
  /// What endpoints stated to this gateway, for the others.
  membership::limit_statements own_statements() const;

  bool is_limited(const std::string& endpoint) const {
    return limiter_.limit_of(endpoint).has_value();
  }
  /// Returns whether another request may be sent to `endpoint` now.
  bool may_send(const std::string& endpoint) const;
  void record_sent(const std::string& endpoint);

  /// Returns whether a request of `service` may use a limited endpoint, or
  /// leaves it to more urgent ones.
  bool admits(const std::string& service, int priority) const;

  /// Records that a request is refused for which `service` can use only
  /// `endpoints`, all of which have limits. Returns after which time its caller
  /// should return. Callers are spread over time according to the limits.
  std::chrono::milliseconds schedule_return(
      const std::string& service, int priority,
      const std::vector<std::string>& endpoints);

  /// Forgets endpoints for which `known` returns false.
  void retain(const std::function<bool(const std::string&)>& known);
  void tick();

 private:
  /// Logs a limit that has changed, and determines the place of this gateway.
  void limit_changed(const std::string& endpoint, const std::string& source);
  void update_position(const std::string& endpoint);

  gateway_context& context_;
  routing::request_limiter limiter_;
  std::map<std::string, monotonic_time> next_return_;      // by service
  std::map<std::string, routing::urgency_share> refused_;  // by service
  monotonic_time positions_at_{};
};

}  // namespace trestlepost::gateway

// Keeps the gateways of a region together within the request rates that
// endpoints state.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "trestlepost/base/clock.h"
#include "trestlepost/membership/limit_statement.h"

namespace trestlepost::routing {

/// The place of a gateway in the order that decides which gateways of a region
/// send to an endpoint: its rank, from 0, among `gateways`.
struct sender_position {
  std::size_t rank = 0;
  std::size_t gateways = 1;
};

/// Limits the requests per second that this gateway sends to each endpoint
/// that states a limit for all gateways together.
///
/// The first gateways in the order share the limit equally, as many as the
/// limit permits to save a request each. If nothing is heard of an endpoint for
/// long, its senders may have no callers, and the next gateways in the order
/// take their place. A gateway saves nothing until it is a sender, so that
/// gateways that learn of a limit, or change places, cause no burst.
class request_limiter {
 public:
  /// Records what an answer to this gateway stated. Returns whether the limit
  /// changed.
  bool record_answer(const std::string& endpoint,
                     std::optional<double> per_second, monotonic_time now);
  /// Records what an answer at the time `at` stated to another gateway.
  /// Returns whether the limit changed.
  bool record_report(const std::string& endpoint,
                     std::optional<double> per_second, monotonic_time at,
                     monotonic_time now);

  /// Returns the limit of the endpoint, if there is one.
  std::optional<double> limit_of(const std::string& endpoint) const;
  std::vector<std::string> limited_endpoints() const;
  void set_position(const std::string& endpoint, sender_position position,
                    monotonic_time now);

  /// Returns whether a request may be sent to `endpoint`.
  bool may_send(const std::string& endpoint, monotonic_time now) const;
  void record_sent(const std::string& endpoint, monotonic_time now);

  /// Returns what recent answers stated to this gateway itself.
  membership::limit_statements own_statements(monotonic_time now) const;

  /// Removes what is known of endpoints for which `known` returns false, and of
  /// those whose limits ended long ago.
  void retain(const std::function<bool(const std::string&)>& known,
              monotonic_time now);

 private:
  struct statement {
    std::optional<double> per_second;
    monotonic_time at;
  };
  struct endpoint_state {
    statement last;                // by any gateway
    std::optional<statement> own;  // last answer to this gateway
    sender_position position;
    double saved = 0;  // requests that may be sent at once
    monotonic_time saved_at;
  };

  bool apply(endpoint_state& state, const statement& in, monotonic_time now);
  static double saved(const endpoint_state& state, monotonic_time now);

  std::map<std::string, endpoint_state> states_;
};

/// The share of a limit that gateways use. The rest allows for gateways that
/// briefly disagree on their order.
inline constexpr double used_share_of_request_limit = 0.7;

}  // namespace trestlepost::routing

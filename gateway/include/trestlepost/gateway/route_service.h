// Serves routed requests on endpoints of the local region or refuses them. It
// never forwards, so a request from another region can't be forwarded again.
#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>

#include "trestlepost/gateway/endpoint_runner.h"
#include "trestlepost/gateway/retry_budgets.h"

namespace trestlepost::gateway {

/// Selects endpoints, retries within the retry budget, and continues
/// interrupted streams.
class route_service {
 public:
  route_service(gateway_context& context, const surface::surfaces& surfaces,
                endpoint_pool& pool, crash_monitor& crashes,
                const routing::shared_retry_limits& retries)
      : context_(context),
        pool_(pool),
        crashes_(crashes),
        runner_(context, surfaces, pool, crashes_),
        retries_(context, retries) {}

  /// Runs `request` on one endpoint after another, as permitted by its route,
  /// starting with `first` if one is already selected. The first send must
  /// have been charged, here or by the gateway that forwarded the request.
  transport::awaitable<attempt> serve(
      routed_request& request, const std::optional<chosen_endpoint>& first,
      transport::http_exchange& exchange);

  /// Records that a caller of this gateway sent a request for `service`, which
  /// adds a fraction of a retry to the retry budget of the service. A gateway
  /// that serves the request on behalf of this one does not record it.
  void record_request(const std::string& service);

  /// Charges one send of `request`, to an endpoint in any region, to the retry
  /// budget. The first send is free. Returns false if the budget is exhausted.
  bool charge_send(routed_request& request);
  /// Returns the charged but unused sends of `request` to the budget when it
  /// has ended.
  void release_unused_sends(routed_request& request);

  /// Records that `request` is retried in `region` after the attempt `last`.
  void record_retry(const routed_request& request, const attempt& last,
                    const std::string& region);

  /// Returns the refusal for `request` if it is held because endpoints crash
  /// when they run it, or if this node is stopping too soon for it. Must be
  /// checked before every send, to an endpoint or to another region.
  std::optional<attempt> send_refusal(routed_request& request) const;
  /// Returns whether `request` must not be retried after `last`, since an
  /// endpoint may have crashed under it and it is already suspected of earlier
  /// crashes.
  bool must_stop_retrying(routed_request& request, const attempt& last) const;

  /// Returns after which time the caller should return if no endpoint accepts
  /// `request`. Must be called once for each refused request.
  std::chrono::milliseconds retry_after(const routed_request& request);

  endpoint_pool& pool() { return pool_; }
  void tick() {
    retries_.tick();
    runner_.tick();
  }

 private:
  /// Records whether `sent` reached its endpoint, and whether as a repeat.
  void record_sent(routed_request& request, const attempt& sent);
  /// Returns the next endpoint to try, or the result of the request if none was
  /// tried before.
  tl::expected<chosen_endpoint, attempt> choose(const routed_request& request);
  /// Returns `chosen`, or a refusal if the request would wait too long there or
  /// would delay the endpoint's other answers by more than its own value.
  tl::expected<chosen_endpoint, attempt> check_value(
      const routed_request& request, const chosen_endpoint& chosen) const;
  /// Returns whether another endpoint of this region may be tried.
  bool may_retry(routed_request& request, const attempt& last,
                 unsigned unsent) const;
  /// Continues an interrupted stream at other endpoints, or aborts the answer.
  transport::awaitable<attempt> resume(routed_request& request,
                                       attempt interrupted,
                                       event_scanner& events,
                                       transport::http_exchange& exchange);
  /// Returns the endpoint for the rest of the stream, or the reason why it is
  /// not continued.
  result<chosen_endpoint> choose_continuation(routed_request& request,
                                              const event_scanner& events,
                                              unsigned unsent);
  void record_resumption(const routed_request& request, const attempt& before,
                         const attempt& after, const std::string& last_event,
                         const std::string& outcome);

  gateway_context& context_;
  endpoint_pool& pool_;
  crash_monitor& crashes_;
  endpoint_runner runner_;
  retry_budgets retries_;
};

}  // namespace trestlepost::gateway

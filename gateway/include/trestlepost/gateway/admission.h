// Admits requests to the endpoints of the local region: immediately if an
// endpoint has capacity, otherwise through a fair queue, or refuses them with a
// Retry-After.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/request.h"
#include "trestlepost/routing/endpoint_choice.h"
#include "trestlepost/routing/fair_queue.h"

namespace trestlepost::gateway {

/// Permission to send one request to one endpoint. Frees the endpoint's slot on
/// destruction.
class endpoint_lease {
 public:
  endpoint_lease(std::function<void()> release, std::string name,
                 std::string address);
  endpoint_lease(endpoint_lease&& other) noexcept;
  endpoint_lease& operator=(endpoint_lease&&) = delete;
  ~endpoint_lease();

  const std::string& name() const { return name_; }
  const std::string& address() const { return address_; }

 private:
  std::function<void()> release_;
  std::string name_;
  std::string address_;
};

class admission {
 public:
  explicit admission(gateway_context& context) : context_(context) {}

  /// Waits until an endpoint has capacity for the request. Returns a refusal if
  /// no endpoint accepts requests, the deadline can't be met, the full queue
  /// drops the request, or the caller disconnects.
  transport::awaitable<tl::expected<endpoint_lease, attempt>> admit(
      const incoming_request& request, std::set<std::string> avoid,
      transport::http_exchange& exchange);

  /// Returns the expected queueing time of a request that arrives now.
  std::chrono::milliseconds expected_wait(const std::string& service) const;

  /// Records how long an endpoint took to serve a request.
  void observe_duration(const std::string& service,
                        std::chrono::nanoseconds duration);

  /// Assigns free endpoints to queued requests of all services and refuses
  /// those that can no longer meet their deadline.
  void dispatch_all();

  membership::service_load load_of(const std::string& service) const;

 private:
  struct waiter;
  struct service_queue {
    explicit service_queue(std::size_t capacity) : queue(capacity) {}
    routing::fair_queue queue;
    std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
    std::chrono::duration<double> mean_duration{0};
  };

  service_queue& queue_of(const std::string& service);
  /// Assigns free endpoints to queued requests of `service`.
  void dispatch_queued(const std::string& service);
  /// Refuses the queued requests that can't end before this node has stopped.
  void refuse_at_stop(const std::string& service, service_queue& queue);
  std::optional<membership::endpoint_view> choose(
      const std::string& service, std::uint64_t affinity,
      const std::set<std::string>& avoid) const;
  endpoint_lease make_lease(const std::string& service,
                            const membership::endpoint_view& chosen);
  /// Removes a queued request and completes it with `outcome`.
  void complete_waiter(service_queue& queue, std::uint64_t id, attempt outcome);
  /// The number of gateways of this region that send to its endpoints.
  unsigned gateway_count() const;
  /// This gateway's share of the requests that the endpoints of `service` can
  /// run at the same time.
  double capacity_of(const std::string& service) const;
  attempt overload_refusal(std::chrono::milliseconds wait) const;

  gateway_context& context_;
  std::map<std::string, service_queue> queues_;
  std::uint64_t next_id_ = 1;
};

}  // namespace trestlepost::gateway

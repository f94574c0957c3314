// The endpoints of the local region as listed by the deployment, and the
// selection of one for a routed request.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/gateway/chosen_endpoint.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/endpoint_incarnations.h"
#include "trestlepost/gateway/endpoint_limits.h"
#include "trestlepost/gateway/remote_caches.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/routing/acceptance_estimator.h"
#include "trestlepost/routing/cold_limiter.h"
#include "trestlepost/routing/endpoint_warmth.h"
#include "trestlepost/routing/engine_table.h"
#include "trestlepost/routing/rejection_limiter.h"
#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::gateway {

/// Keeps the endpoints of the local region and selects among them by their
/// reported load, cache state and warmth.
class endpoint_pool {
 public:
  explicit endpoint_pool(gateway_context& context)
      : context_(context), limits_(context) {}

  /// Replaces the list of endpoints by the deployment's full list, which
  /// reflects the configuration up to revision `covers`. `zones` maps
  /// availability zones to regions.
  void update_list(const std::vector<surface::listed_endpoint>& listed,
                   config::revision_number covers,
                   const std::map<std::string, std::string>& zones);
  /// Applies a change of the traffic plan or of the evacuated zones.
  void refresh();

  /// Returns the endpoint for `request`, or the reason why there is none.
  result<chosen_endpoint> choose(const routed_request& request) const;

  /// Returns the load of `service` as advertised to gateways of other regions.
  membership::service_load load_of(const std::string& service) const;

  /// Records the load and warmth reported in the head of an answer.
  void record_answer(const std::string& endpoint,
                     const surface::endpoint_answer& answer);
  /// Removes an endpoint whose address now belongs to another one.
  void remove_endpoint(const std::string& endpoint);
  /// Records whether `endpoint` accepted a request or rejected it without
  /// running it.
  void record_accepted(const std::string& endpoint);
  void record_rejected(const std::string& endpoint);
  /// Records a request sent to `endpoint`, which limits the rate if it is cold.
  void record_sent(const std::string& endpoint);
  /// Records that a request sent to `endpoint` was rejected by it, or had
  /// another outcome up to the head of the answer.
  void record_outcome(const std::string& endpoint, bool rejected);

  /// Exchange what endpoints state about their request limits with the other
  /// gateways of the region.
  membership::limit_statements own_limit_statements() const {
    return limits_.own_statements();
  }
  void record_limit_reports(const membership::limit_statements& reports) {
    limits_.record_reports(reports);
  }
  /// If each usable endpoint for `request`, which is refused, states a request
  /// limit, returns after which time its caller should return.
  std::optional<std::chrono::milliseconds> schedule_return(
      const routed_request& request);

  routing::engine_table& engines() { return engines_; }
  const routing::engine_table& engines() const { return engines_; }
  const std::vector<surface::listed_endpoint>& listed() const {
    return listed_;
  }
  /// Returns the services with endpoints in this region.
  std::vector<std::string> services() const;
  /// Discards old records of requests to cold endpoints.
  void tick();

 private:
  /// Returns whether `view` may receive a request of `service` now.
  bool accepts_requests(const membership::endpoint_view& view,
                        const config::planned_service* service) const;
  /// Returns whether this gateway is one of the few that send to a cold
  /// endpoint.
  bool is_cold_sender(const std::string& endpoint) const;
  /// Returns whether `view` bears the rejection of another request.
  bool bears_rejection(const membership::endpoint_view& view) const;
  const config::planned_service* find_planned(const std::string& service) const;
  /// Applies evacuations, and ends of evacuations, since the last call.
  void update_evacuations();
  /// Returns whether `endpoint` has to be limited to the request rate of a cold
  /// endpoint.
  bool may_be_cold(const std::string& endpoint, const std::string& zone,
                   const config::planned_service* service,
                   monotonic_time now) const;
  /// Selects the endpoint with the highest value among those that run inference
  /// engines.
  std::optional<chosen_endpoint> choose_engine(
      const std::vector<membership::endpoint_view>& available,
      const routed_request& request,
      const config::engine_profile& engine) const;
  /// Selects by load among endpoints without engines.
  std::optional<chosen_endpoint> choose_without_engine(
      const std::vector<membership::endpoint_view>& all) const;
  chosen_endpoint make_chosen(const membership::endpoint_view& view) const;
  /// Returns those of `available` whose acceptance probability is close to the
  /// highest.
  std::vector<membership::endpoint_view> likely_to_accept(
      const std::vector<membership::endpoint_view>& available) const;
  /// The zone and the service of an endpoint.
  struct location {
    std::string zone;
    std::string service;
  };

  /// Returns the location of `view` if it is usable, listed and not evacuated,
  /// or null.
  const location* find_in_use(const membership::endpoint_view& view) const;

  gateway_context& context_;
  endpoint_incarnations incarnations_;
  std::vector<surface::listed_endpoint> listed_;  // in the local region
  std::map<std::string, location> locations_;     // by endpoint
  remote_caches remote_caches_;
  std::map<std::string, monotonic_time> observed_at_;
  routing::engine_table engines_;
  routing::endpoint_warmth warmth_;
  routing::cold_limiter cold_;
  routing::rejection_limiter rejections_;
  endpoint_limits limits_;
  routing::acceptance_estimator acceptance_;  // by endpoint
  std::set<std::string> evacuated_;           // zones, at the last update
};

}  // namespace trestlepost::gateway

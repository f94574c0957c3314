// The endpoints of the own region that the deployment lists, and which of
// them serves a routed request now.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "trestlepost/base/error.h"
#include "trestlepost/gateway/chosen_endpoint.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/endpoint_lives.h"
#include "trestlepost/gateway/remote_caches.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/routing/acceptance.h"
#include "trestlepost/routing/cold_limiter.h"
#include "trestlepost/routing/endpoint_warmth.h"
#include "trestlepost/routing/engine_book.h"
#include "trestlepost/surface/endpoint_codec.h"
#include "trestlepost/surface/endpoint_directory.h"

namespace trestlepost::gateway {

/// Knows the endpoints of the own region, and chooses among them. It keeps
/// what answers tell of their load and of those that are still cold.
class endpoint_pool {
 public:
  explicit endpoint_pool(gateway_context& context) : context_(context) {}

  /// Takes in the whole list of the deployment, which covers the configuration
  /// up to `covers`; `zones` gives each availability zone's region.
  void learn(const std::vector<surface::listed_endpoint>& listed,
             config::revision_number covers,
             const std::map<std::string, std::string>& zones);
  /// The plan or the evacuated zones changed.
  void refresh();

  /// The endpoint for `request`, or why there is none now.
  result<chosen_endpoint> choose(const routed_request& request) const;

  /// What gateways of other regions are told of `service` here.
  membership::service_load load_of(const std::string& service) const;

  /// Takes in what an answer's head tells of the endpoint's load and warmth.
  void observe(const std::string& endpoint,
               const surface::endpoint_answer& answer);
  /// Another endpoint has its address.
  void vanished(const std::string& endpoint);
  /// A request that was sent to `endpoint` was taken there, or rejected unrun.
  void note_taken(const std::string& endpoint);
  void note_rejected(const std::string& endpoint);
  /// A request was sent there; a cold endpoint is sent few.
  void note_sent(const std::string& endpoint);

  routing::engine_book& engines() { return engines_; }
  const routing::engine_book& engines() const { return engines_; }
  const std::vector<surface::listed_endpoint>& listed() const {
    return listed_;
  }
  /// The services that have endpoints here.
  std::vector<std::string> services() const;
  /// Forgets old requests to cold endpoints.
  void tick();

 private:
  /// Whether `view` may be sent a request of `service` now.
  bool takes_requests(const membership::endpoint_view& view,
                      const config::planned_service* service) const;
  /// Whether this gateway is one of the few that send to a cold endpoint.
  bool is_cold_sender(const std::string& endpoint) const;
  const config::planned_service* planned(const std::string& service) const;
  /// Takes in which zones were evacuated or given back since the last call.
  void note_evacuations();
  /// Whether `endpoint` is to get no more than a cold one bears.
  bool may_be_cold(const std::string& endpoint, const std::string& zone,
                   const config::planned_service* service,
                   monotonic_time now) const;
  /// Among endpoints that run engines: the one that is worth most.
  std::optional<chosen_endpoint> choose_engine(
      const std::vector<membership::endpoint_view>& open,
      const routed_request& request,
      const config::engine_profile& engine) const;
  /// Among endpoints without engines: by their load only.
  std::optional<chosen_endpoint> choose_plain(
      const std::vector<membership::endpoint_view>& all) const;
  chosen_endpoint without_engine(const membership::endpoint_view& view) const;
  /// Those of `open` that are about as likely as any to take a request.
  std::vector<membership::endpoint_view> likely_of(
      const std::vector<membership::endpoint_view>& open) const;
  /// Those of the own region that aren't dead; at least one.
  unsigned region_gateways() const;

  /// Where an endpoint stands, and what for.
  struct place {
    std::string zone;
    std::string service;
  };

  gateway_context& context_;
  endpoint_lives lives_;
  std::vector<surface::listed_endpoint> listed_;  // of the own region
  std::map<std::string, place> places_;           // by endpoint
  remote_caches remote_caches_;
  std::map<std::string, monotonic_time> observed_at_;
  routing::engine_book engines_;
  routing::endpoint_warmth warmth_;
  routing::cold_limiter cold_;
  routing::acceptance acceptance_;   // by endpoint
  std::set<std::string> evacuated_;  // zones, as last noted
};

}  // namespace trestlepost::gateway

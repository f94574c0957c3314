// What each endpoint of a service that runs engines offers a request: its
// expected course there, and which parts of the prompt are read or copied.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/gateway/chosen_endpoint.h"
#include "trestlepost/gateway/remote_caches.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/routing/engine_book.h"
#include "trestlepost/routing/engine_choice.h"
#include "trestlepost/routing/outlook.h"

namespace trestlepost::gateway {

/// The expected course of `work` at `view`, which reads `tokens` for it; the
/// wait for one of the engine's slots is included.
routing::outlook expected_at(const membership::endpoint_view& view,
                             const routing::engine_work& work,
                             std::uint32_t tokens,
                             const config::engine_profile& engine,
                             const routing::engine_book& engines);

/// What one endpoint offers, and what it is compared by.
struct weighed_endpoint {
  chosen_endpoint chosen;
  routing::engine_candidate candidate;
};

/// Weighs the endpoints that are open for one request. It refers to what it
/// was made from, which must outlive it.
class engine_weighing {
 public:
  engine_weighing(const std::vector<membership::endpoint_view>& open,
                  const routed_request& request,
                  const config::engine_profile& engine,
                  const routing::engine_book& engines,
                  const remote_caches& remote);

  /// What `view`, one of the open endpoints, offers.
  weighed_endpoint weigh(const membership::endpoint_view& view) const;

 private:
  /// The open endpoint that lacks least of the shared sections.
  void find_holder(const std::vector<membership::endpoint_view>& open);

  const routing::engine_work& work_;
  const config::engine_profile& engine_;
  const routing::engine_book& engines_;
  const membership::endpoint_view* holder_ = nullptr;
  std::uint32_t holder_lacks_ = 0;
  /// The one that all gateways prefer for a section that nobody has.
  const membership::endpoint_view* preferred_ = nullptr;
  /// A likely holder in another region, when the own one lacks much; may be
  /// empty.
  std::string remote_address_;
};

}  // namespace trestlepost::gateway

// Evaluates the endpoints of a service that runs inference engines for one
// request: expected completion, and the prompt tokens that are processed or
// copied from another endpoint's cache.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trestlepost/config/traffic_plan.h"
#include "trestlepost/gateway/chosen_endpoint.h"
#include "trestlepost/gateway/remote_caches.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/membership/endpoint_tracker.h"
#include "trestlepost/routing/completion_estimate.h"
#include "trestlepost/routing/engine_choice.h"
#include "trestlepost/routing/engine_table.h"

namespace trestlepost::gateway {

/// Estimates the completion of `work` at `view` if the endpoint has to process
/// `tokens` prompt tokens, including the wait for an engine slot.
routing::completion_estimate estimate_completion(
    const membership::endpoint_view& view, const routing::engine_work& work,
    std::uint32_t tokens, const config::engine_profile& engine,
    const routing::engine_table& engines);

/// An endpoint and the criteria it is compared by.
struct evaluated_endpoint {
  chosen_endpoint chosen;
  routing::engine_candidate candidate;
};

/// Evaluates the available endpoints for one request. Keeps references to the
/// constructor's arguments, which must outlive it.
class engine_evaluator {
 public:
  engine_evaluator(const std::vector<membership::endpoint_view>& available,
                   const routed_request& request,
                   const config::engine_profile& engine,
                   const routing::engine_table& engines,
                   const remote_caches& remote);

  /// Evaluates `view`, which must be one of the available endpoints.
  evaluated_endpoint evaluate(const membership::endpoint_view& view) const;

 private:
  /// Finds the available endpoint with the fewest uncached tokens in the shared
  /// sections.
  void find_best_cached(
      const std::vector<membership::endpoint_view>& available);

  const routing::engine_work& work_;
  const config::engine_profile& engine_;
  const routing::engine_table& engines_;
  const membership::endpoint_view* best_cached_ = nullptr;
  std::uint32_t best_uncached_tokens_ = 0;
  /// The endpoint all gateways prefer for a section that no endpoint is known
  /// to have cached.
  const membership::endpoint_view* preferred_ = nullptr;
  /// An endpoint of another region that probably has the section cached, if
  /// much of it is missing in this region; may be empty.
  std::string remote_source_address_;
};

}  // namespace trestlepost::gateway

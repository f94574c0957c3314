// Forwards a routed request to another gateway of a permitted region.
#pragma once

#include <map>
#include <set>
#include <string>

#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/routed_request.h"
#include "trestlepost/routing/acceptance_estimator.h"
#include "trestlepost/surface/surfaces.h"

namespace trestlepost::gateway {

class answer_reader;

class route_forwarder {
 public:
  route_forwarder(gateway_context& context, const surface::surfaces& surfaces)
      : context_(context), surfaces_(surfaces) {}

  /// Makes one attempt at a gateway of `region`, which may be the own region,
  /// but not at one of `excluded`.
  transport::awaitable<attempt> serve(const routed_request& request,
                                      const std::string& region,
                                      const std::set<std::string>& excluded,
                                      transport::http_exchange& exchange);

  /// Returns the probability that the endpoints of `region` accept a request of
  /// `service`, based on recent answers to this gateway.
  double accept_probability(const std::string& region,
                            const std::string& service) const;

  /// Returns the prompt tokens of requests sent to `region` whose answer has
  /// not started yet.
  std::uint32_t unanswered_tokens(const std::string& region) const;

 private:
  transport::http_request make_request(const routed_request& request) const;
  /// Relays the answer of the other gateway to the caller. Leaves the number of
  /// sends open.
  transport::awaitable<attempt> relay_answer(
      const routed_request& request, transport::http_call& call,
      transport::http_exchange& exchange);
  /// Relays an answer piece by piece, beginning with `first`.
  static transport::awaitable<attempt> relay_pieces(
      answer_reader& reader, transport::http_exchange& exchange,
      transport::http_response head, std::string first);

  gateway_context& context_;
  const surface::surfaces& surfaces_;
  /// Records whether the endpoints of `region` accepted the request.
  void record_acceptance(const std::string& region, const std::string& service,
                         const attempt& outcome);

  std::map<std::string, std::uint32_t> unanswered_;  // by region
  routing::acceptance_estimator acceptance_;         // by region and service
};

}  // namespace trestlepost::gateway

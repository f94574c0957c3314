// Serves model and service calls on the endpoints of the local region or
// refuses them. It never forwards, so a request from another region can't be
// forwarded again.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "trestlepost/gateway/admission.h"
#include "trestlepost/gateway/attempt.h"
#include "trestlepost/gateway/context.h"
#include "trestlepost/gateway/crash_monitor.h"
#include "trestlepost/gateway/delivery.h"
#include "trestlepost/gateway/request.h"

namespace trestlepost::gateway {

class local_service {
 public:
  local_service(gateway_context& context, crash_monitor& crashes)
      : context_(context), crashes_(crashes), admission_(context) {}

  /// Makes one attempt. Checks the placement again, regardless of the sender.
  transport::awaitable<attempt> serve(const incoming_request& request,
                                      std::set<std::string> avoid,
                                      transport::http_exchange& exchange);

  admission& queue() { return admission_; }
  const admission& queue() const { return admission_; }
  /// Returns the state of every region for one service.
  std::vector<routing::region_view> views(const std::string& service) const;

 private:
  /// Serves a request that must run at most once: claims its key in the
  /// ledger first and records the outcome. `home` is the region that keeps
  /// the record.
  transport::awaitable<attempt> serve_once(const incoming_request& request,
                                           const std::string& home,
                                           std::set<std::string> avoid,
                                           transport::http_exchange& exchange);
  /// Claims the request's key. Returns the result of the request unless the
  /// claim is granted.
  transport::awaitable<std::optional<attempt>> claim(
      const incoming_request& request, const std::string& attempt_id,
      transport::http_exchange& exchange);
  /// Closes the key in regions that kept its record before. Returns the
  /// result of the request unless all of them have closed it.
  transport::awaitable<std::optional<attempt>> fence_previous_homes(
      const incoming_request& request, const std::string& attempt_id,
      transport::http_exchange& exchange);
  /// Replays the recorded answer or refuses the request, as decided by the
  /// ledger.
  transport::awaitable<attempt> answer_decision(
      const incoming_request& request, const ledger::claim_decision& decided,
      transport::http_exchange& exchange);
  /// Waits for an endpoint, sends the request to it and delivers the answer.
  transport::awaitable<delivery_result> dispatch(
      const incoming_request& request, const std::string& attempt_id,
      std::set<std::string> avoid, transport::http_exchange& exchange);
  /// Sends the request to the endpoint of `lease` and delivers the answer.
  transport::awaitable<delivery_result> run(const incoming_request& request,
                                            const std::string& attempt_id,
                                            const endpoint_lease& lease,
                                            transport::http_exchange& exchange);
  delivery_result send_failed(const incoming_request& request,
                              const std::string& endpoint,
                              const transport::call_failure& failure);
  std::string fingerprint(const incoming_request& request) const;
  /// Returns the refusal for a request that is held.
  std::optional<delivery_result> refuse_held(
      const incoming_request& request) const;
  /// Records the outcome of a claimed request in the ledger.
  void finish(const incoming_request& request, const std::string& attempt_id,
              const delivery_result& delivered);

  gateway_context& context_;
  crash_monitor& crashes_;
  admission admission_;
};

}  // namespace trestlepost::gateway
